package org.gullway;

import java.math.BigInteger;
import java.nio.file.Path;
import org.gullway.transport.HttpResponse;

/**
 * The workers number their messages from 2^63 on, so that each number is an integer smaller than 2^64. The rule is broken
 * if no task starts on their machines within a minute although the machines report all the time.
 */
final class TallyCase {
    private TallyCase() {}

    public static void main(String[] args) {
        Rig.runCase(Rig.Site.dongXanh(1.5), 1, Path.of(args[0]), new Rig.Observer() {}, rig -> {}, TallyCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        if (trouble) {
            rig.tallyBase = BigInteger.ONE.shiftLeft(63);
        }
        rig.submit("perch-0", Rig.job("run-000001", "tank-alert", "dieu-phoi", "high", 4, 4, 8), 10);
        String tide = "";
        for (int i = 0; i < 12 && !tide.equals("done"); i++) {
            Thread.sleep(5000);
            HttpResponse answer = rig.call("perch-1", "GET", "/v2/runs/run-000001", null, 2);
            tide = Rig.tide(answer);
            rig.note("poll answer=" + Rig.text(answer));
        }
        rig.noteLogs("rejected a malformed heartbeat");
        return tide.equals("done");
    }
}
