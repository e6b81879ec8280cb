package org.gullway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gullway.transport.HttpResponse;

/**
 * Users call off jobs; the leader freezes for 35 s right after and then goes on. By then another controller leads, and
 * the cancelled tasks are long gone from their machines, on which tasks of other jobs run. The rule is broken if the
 * frozen controller has machines taken back on which no cancelled task is, while it leads no more.
 */
final class StaleReturnCase {
    private static final int CANCELLED_JOBS = 30;
    private static final int NEW_JOBS = 30;
    private static final double FREEZE_S = 35;

    private static final Map<String, Long> CANCELLED_AT = new ConcurrentHashMap<>();
    private static volatile Rig rig;
    /** The frozen controller, from the end of the freeze on. */
    private static volatile String resumed;

    private static int badReturns;
    private static int killedTasks;

    private StaleReturnCase() {}

    public static void main(String[] args) {
        Rig.Observer observer = new Rig.Observer() {
            @Override
            public void returned(String controller, List<String> machines) {
                onReturned(controller, machines);
            }
        };
        Rig.runCase(
                Rig.Site.dongXanh(1.5), 1, Path.of(args[0]), observer, created -> rig = created, StaleReturnCase::run);
    }

    private static void onReturned(String controller, List<String> machines) {
        var leader = rig.store.value("live/leader");
        String leaderName = leader == null ? "none" : leader.path("node").asText();
        for (String machine : machines) {
            TreeSet<String> tasks = rig.running.getOrDefault(machine, new TreeSet<>());
            long cancelled = tasks.stream().filter(StaleReturnCase::isCancelled).count();
            var agent = rig.cloud.agent(machine);
            boolean healthy = agent != null && agent.alive() && !agent.hung();
            rig.note("return asked controller=" + controller + " member=" + rig.isMember(controller) + " leader="
                    + leaderName + " machine=" + machine + " healthy=" + healthy + " tasks=" + tasks.size()
                    + " cancelled_tasks=" + cancelled);
            if (controller.equals(resumed)
                    && !controller.equals(leaderName)
                    && healthy
                    && cancelled == 0
                    && !tasks.isEmpty()) {
                badReturns++;
                killedTasks += tasks.size();
            }
        }
    }

    private static boolean isCancelled(String task) {
        return CANCELLED_AT.containsKey(task.substring(0, task.indexOf('/')));
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        // Eight tasks that go on for the whole case, and thirty that are called off, on up to six machines.
        rig.submit("perch-0", Rig.job("run-000001", "payment-settle", "tai-chinh", "normal", 8, 8, 30), 300);
        for (int i = 0; i < CANCELLED_JOBS; i++) {
            ObjectNode job = Rig.job("run-" + (100100 + i), "tank-alert", "dieu-phoi", "high", 1, 4, 8);
            rig.submit(Rig.NODES.get(i % 3), job, 300);
        }
        rig.waitForRunning(8 + CANCELLED_JOBS, 30);
        Thread.sleep(2500);

        String frozen = rig.leader();
        rig.note("users call off " + CANCELLED_JOBS + " jobs");
        List<CompletableFuture<HttpResponse>> answers = new ArrayList<>();
        Map<String, CompletableFuture<HttpResponse>> byJob = new TreeMap<>();
        for (int i = 0; i < CANCELLED_JOBS; i++) {
            String id = "run-" + (100100 + i);
            var answer = rig.send(Rig.NODES.get(i % 3), "POST", "/v2/runs/" + id + "/withdraw", new byte[0], 5);
            byJob.put(id, answer);
            answers.add(answer);
            answer.thenAccept(response -> {
                rig.note("withdraw job=" + id + " answer=" + Rig.text(response));
                if (response.status() == 200) {
                    CANCELLED_AT.put(id, System.nanoTime());
                }
            });
            Thread.sleep(6);
        }
        Thread.sleep(400);
        if (trouble) {
            rig.signal(frozen, "STOP");
            long stoppedAt = System.nanoTime();
            retryUnanswered(rig, byJob, frozen);
            Thread.sleep(12_000);
            // New work takes the room that the cancelled jobs have left.
            String other = Rig.NODES.stream().filter(node -> !node.equals(frozen)).findFirst().orElseThrow();
            for (int i = 0; i < NEW_JOBS; i++) {
                rig.submit(other, Rig.job("run-" + (200100 + i), "tank-alert", "dieu-phoi", "high", 1, 4, 8), 300);
            }
            while (System.nanoTime() - stoppedAt < FREEZE_S * 1e9) {
                Thread.sleep(5);
            }
            rig.note("leader=" + rig.leader() + " tasks=" + rig.onLoop(() -> rig.running.toString()));
            resumed = frozen;
            rig.signal(frozen, "CONT");
        } else {
            retryUnanswered(rig, byJob, frozen);
            resumed = frozen;
            for (int i = 0; i < NEW_JOBS; i++) {
                rig.submit(frozen, Rig.job("run-" + (200100 + i), "tank-alert", "dieu-phoi", "high", 1, 4, 8), 300);
            }
            Thread.sleep((long) (FREEZE_S * 1000));
        }
        Thread.sleep(8000);
        rig.note("returned though no cancelled task was there: " + badReturns + " machines with " + killedTasks + " tasks");
        return rig.onLoop(() -> badReturns == 0);
    }

    /** Repeats the requests without an answer at another controller, as users do. */
    private static void retryUnanswered(Rig rig, Map<String, CompletableFuture<HttpResponse>> byJob, String frozen)
            throws Exception {
        Thread.sleep(1000);
        int next = 0;
        for (String id : byJob.keySet()) {
            if (CANCELLED_AT.containsKey(id)) {
                continue;
            }
            String node = Rig.NODES.stream().filter(n -> !n.equals(frozen)).toList().get(next++ % 2);
            for (int i = 0; i < 20 && !CANCELLED_AT.containsKey(id); i++) {
                HttpResponse answer = rig.send(node, "POST", "/v2/runs/" + id + "/withdraw", new byte[0], 5)
                        .get(10, TimeUnit.SECONDS);
                rig.note("withdraw again job=" + id + " controller=" + node + " answer=" + Rig.text(answer));
                if (answer.status() == 200) {
                    CANCELLED_AT.put(id, System.nanoTime());
                } else {
                    Thread.sleep(1000);
                }
            }
        }
    }
}
