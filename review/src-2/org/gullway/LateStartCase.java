package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gullway.transport.HttpResponse;

/**
 * The state service takes 300 ms for its answers to the watches of the controllers that do not lead. Users call off jobs
 * 450 ms after they were accepted. The rule is broken if a controller sends the command to start a task of a job after
 * its user was told that the job is cancelled, and the task starts.
 */
final class LateStartCase {
    private static final int ROUNDS = 10;
    /** Far above the time that a command or an answer takes on loopback, so that no command was on its way before. */
    private static final long MARGIN_NANOS = 50_000_000;

    private static final Map<String, Long> CANCELLED_AT = new ConcurrentHashMap<>();
    private static final Map<String, Long> START_SENT_AT = new ConcurrentHashMap<>();
    private static volatile Rig rig;
    private static int lateStarts;

    private LateStartCase() {}

    public static void main(String[] args) {
        Rig.Observer observer = new Rig.Observer() {
            @Override
            public void commands(String machine, JsonNode body) {
                for (JsonNode call : body.path("calls")) {
                    String leg = call.path("leg").asText();
                    if (call.path("call").asText().equals("start")) {
                        START_SENT_AT.putIfAbsent(leg, System.nanoTime());
                    }
                }
            }

            @Override
            public void started(String machine, String task) {
                Long cancelledAt = CANCELLED_AT.get(task.substring(0, task.indexOf('/')));
                if (cancelledAt != null && START_SENT_AT.get(task) > cancelledAt + MARGIN_NANOS) {
                    lateStarts++;
                    rig.note("started after the confirmed cancellation task=" + task + " command_after_ms="
                            + (START_SENT_AT.get(task) - cancelledAt) / 1_000_000);
                }
            }
        };
        Rig.runCase(
                Rig.Site.dongXanh(1.5), 1, Path.of(args[0]), observer, created -> rig = created, LateStartCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        rig.submit("perch-0", Rig.job("run-000001", "payment-settle", "tai-chinh", "normal", 12, 16, 30), 6);
        rig.waitForRunning(12, 30);
        Thread.sleep(8000);
        String leader = rig.leader();
        if (trouble) {
            rig.onLoop(() -> {
                rig.store.delayResponses(
                        (controller, exchange) -> !controller.equals(leader) && exchange.path().equals("/watch"),
                        Duration.ofMillis(300));
                return null;
            });
            Thread.sleep(1000);
        }
        for (int i = 0; i < ROUNDS; i++) {
            String id = "run-" + (300100 + i);
            rig.submit(leader, Rig.job(id, "tank-alert", "dieu-phoi", "high", 40, 4, 8), 60);
            Thread.sleep(450);
            HttpResponse answer = rig.call(leader, "POST", "/v2/runs/" + id + "/withdraw", new byte[0], 5);
            if (answer.status() == 200) {
                CANCELLED_AT.put(id, System.nanoTime());
            }
            rig.note("withdraw job=" + id + " answer=" + Rig.text(answer) + " start_commands_sent=" + START_SENT_AT.keySet().stream().filter(leg -> leg.startsWith(id + "/")).count());
            Thread.sleep(1500);
        }
        rig.note("starts after a confirmed cancellation: " + lateStarts + " of " + ROUNDS + " jobs");
        return rig.onLoop(() -> lateStarts == 0);
    }
}
