package org.gullway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/** A controller crashes and comes back; afterwards small jobs are submitted while each machine has half a CPU free. */
final class Case7 {
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ReviewCluster.Setup setup = new ReviewCluster.Setup();
        setup.capacity = 3;
        setup.teams.put("cartografia", new double[] {80, 192});
        setup.teams.put("guardaparques", new double[] {96, 360});
        setup.types.add(new MachineType(
                "jaguar-32", 32, 0, 256, 50, 1, 2.65, 0.87, Duration.ofSeconds(2), List.of("san-pedro")));
        int exit = 2;
        try (ReviewCluster cluster = new ReviewCluster(setup, Path.of(arguments[0], "record.txt"))) {
            cluster.note("TROUBLE=" + (trouble ? 1 : 0));
            cluster.spread = 0;
            cluster.start();
            if (cluster.awaitHealthy(20)) {
                exit = run(cluster, trouble) ? 0 : 1;
            }
            cluster.note("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private static boolean run(ReviewCluster cluster, boolean trouble) throws Exception {
        Map<String, Double> startedAt = new ConcurrentHashMap<>();
        cluster.onStart = (machine, task) -> {
            startedAt.putIfAbsent(task, cluster.seconds());
            cluster.note("start " + task + " on " + machine);
        };
        // Three machines, one for each controller, each with 0.5 of 32 CPUs free for the rest of the run.
        cluster.submit(
                ReviewCluster.job("run-000001", "tile-render", "cartografia", Priority.NORMAL, 3, 31.5, 26),
                Duration.ofSeconds(300));
        while (startedAt.size() < 3) {
            Thread.sleep(200);
        }
        Thread.sleep(1000);
        String leader = cluster.leader();
        String victim = cluster.nodes().stream().filter(node -> !node.equals(leader)).findFirst().orElseThrow();
        if (trouble) {
            cluster.kill(victim);
            Thread.sleep(7000);
            cluster.startController(victim);
        }
        if (!cluster.awaitHealthy(20)) {
            throw new IllegalStateException("a controller did not come back");
        }
        Thread.sleep(1000);
        // Small jobs, one after another, until one of them doesn't start at once; twelve at most.
        Map<String, Double> submittedAt = new TreeMap<>();
        List<String> waiting = new ArrayList<>();
        for (int i = 10; i < 22 && waiting.isEmpty(); i++) {
            String id = "run-0000" + i;
            cluster.submit(
                    ReviewCluster.job(id, "contour-smooth", "guardaparques", Priority.NORMAL, 1, 0.25, 0.5),
                    Duration.ofMillis(500));
            submittedAt.put(id, cluster.seconds());
            Thread.sleep(1100);
            if (!startedAt.containsKey(id + "/0")) {
                waiting.add(id);
            }
        }
        while (!waiting.isEmpty() && cluster.seconds() < submittedAt.get(waiting.get(0)) + 90.5) {
            Thread.sleep(500);
            waiting.removeIf(id -> startedAt.containsKey(id + "/0"));
        }
        for (String id : waiting) {
            String owner = cluster.onLoop(() -> cluster.store.value("live/jobs/" + id).path("owner").asText());
            cluster.note(id + " has waited " + Math.round(cluster.seconds() - submittedAt.get(id)) + " s; owner " + owner);
            cluster.query(leader, id);
        }
        cluster.note(waiting.size() + " of " + submittedAt.size() + " accepted jobs have not started 90 s after their"
                + " submission; machines " + cluster.onLoop(cluster.cloud::machineCount));
        return waiting.isEmpty();
    }
}
