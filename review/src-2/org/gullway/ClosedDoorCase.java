package org.gullway;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gullway.protocol.Cbor;
import org.gullway.transport.HttpResponse;

/**
 * The cloud has an outage: it answers every request with 503. All controllers end and are back after 3 s. The state
 * service, the workers and the users are well. The rule is broken if, in 75 s, no node answers anything at all: no
 * question about an accepted job, no request to call one off, no submission (503 would do) and no report.
 */
final class ClosedDoorCase {
    private static final double WATCHED_S = 75;

    private static final AtomicInteger KILLED = new AtomicInteger();
    private static volatile boolean counting;

    private ClosedDoorCase() {}

    public static void main(String[] args) {
        Rig.Observer observer = new Rig.Observer() {
            @Override
            public void ended(String machine, String task, boolean done) {
                if (counting && !done && task.startsWith("run-000002/")) {
                    KILLED.incrementAndGet();
                }
            }
        };
        Rig.runCase(Rig.Site.dongXanh(1.5), 1, Path.of(args[0]), observer, rig -> {}, ClosedDoorCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        rig.submit("perch-0", Rig.job("run-000001", "route-plan", "tai-chinh", "high", 2, 2, 3.9), 2);
        rig.submit("perch-0", Rig.job("run-000002", "payment-settle", "tai-chinh", "normal", 12, 8, 30), 300);
        rig.submit("perch-0", Rig.job("run-000003", "tank-alert", "dieu-phoi", "high", 4, 4, 8), 300);
        rig.waitFor("the first job is done", 30, () -> Rig.tide(
                        rig.call("perch-0", "GET", "/v2/runs/run-000001", null, 2))
                .equals("done"));
        rig.waitForRunning(16, 30);
        Thread.sleep(4000);
        rig.cloudOut = trouble;
        rig.note("cloud outage=" + trouble);
        counting = true;
        for (String node : Rig.NODES) {
            rig.kill(node);
        }
        Thread.sleep(3000);
        for (String node : Rig.NODES) {
            rig.startController(node);
        }
        AtomicInteger answered = new AtomicInteger();
        double begin = rig.seconds();
        int asked = 0;
        while (rig.seconds() - begin < WATCHED_S) {
            List<CompletableFuture<Void>> round = new ArrayList<>();
            for (String node : Rig.NODES) {
                round.add(ask(rig, answered, node, "GET", "/v2/runs/run-000001", null));
                round.add(ask(rig, answered, node, "GET", "/v2/runs/run-000002", null));
                round.add(ask(rig, answered, node, "POST", "/v2/runs/run-000003/withdraw", new byte[0]));
                round.add(ask(
                        rig,
                        answered,
                        node,
                        "POST",
                        "/v2/runs",
                        Cbor.encode(
                                Rig.job("run-000002", "payment-settle", "tai-chinh", "normal", 12, 8, 30))));
            }
            asked += round.size();
            for (var each : round) {
                each.get(10, TimeUnit.SECONDS);
            }
            Thread.sleep(3000);
        }
        for (String node : Rig.NODES) {
            boolean member = rig.onLoop(() -> rig.isMember(node));
            rig.note("controller=" + node + " alive=" + rig.isAlive(node) + " member=" + member);
        }
        rig.note("asked=" + asked + " answered=" + answered + " running tasks of run-000002 that were killed=" + KILLED);
        return answered.get() > 0;
    }

    private static CompletableFuture<Void> ask(
            Rig rig, AtomicInteger answered, String node, String method, String path, byte[] body) {
        return rig.send(node, method, path, body, 2).thenAccept(response -> {
            rig.note(method + " " + path + " controller=" + node + " answer=" + Rig.text(response));
            if (response.outcome() == HttpResponse.Outcome.ANSWERED) {
                answered.incrementAndGet();
            }
        });
    }
}
