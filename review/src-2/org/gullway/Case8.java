package org.gullway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/** After a burst of jobs with large tasks, a job of priority idle is submitted; every machine has room for its tasks. */
final class Case8 {
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ReviewCluster.Setup setup = new ReviewCluster.Setup();
        // 28 machines jaguar-32: 14 cheap ones and 14 others.
        setup.capacity = 14;
        setup.teams.put("cartografia", new double[] {80, 192});
        setup.teams.put("guardaparques", new double[] {96, 360});
        setup.teams.put("terreno", new double[] {64, 192});
        setup.teams.put("bosque-lab", new double[] {0, 0});
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
        // The class tile-render: two jobs; in the burst twice as many.
        submitTiles(cluster, "run-000001", "guardaparques", 13);
        submitTiles(cluster, "run-000002", "cartografia", 5);
        int large = 18;
        if (trouble) {
            submitTiles(cluster, "run-000003", "cartografia", 4);
            submitTiles(cluster, "run-000004", "terreno", 9);
            large = 28;
        }
        double until = cluster.seconds() + 15;
        while (startedAt.size() < large && cluster.seconds() < until) {
            Thread.sleep(200);
        }
        cluster.note(startedAt.size() + " large tasks run on " + cluster.onLoop(cluster.cloud::machineCount)
                + " machines, each of which has 12 CPUs and more than 200 GB free; all submissions of the burst are over");
        if (startedAt.size() < large) {
            throw new IllegalStateException("the large tasks did not start");
        }
        cluster.submit(
                ReviewCluster.job("run-000010", "canopy-idle", "bosque-lab", Priority.IDLE, 4, 2, 3.6),
                Duration.ofSeconds(10));
        double submitted = cluster.seconds();
        while (cluster.seconds() < submitted + 91 && !startedAt.containsKey("run-000010/0")) {
            Thread.sleep(500);
            if (Math.round(cluster.seconds() - submitted) % 15 == 0) {
                cluster.query("perch-0", "run-000010");
            }
        }
        boolean started = startedAt.containsKey("run-000010/0");
        cluster.note("the job of priority idle " + (started ? "has started" : "has not started 90 s after its submission"));
        return started;
    }

    private static void submitTiles(ReviewCluster cluster, String id, String team, int tasks) throws Exception {
        cluster.submit(
                ReviewCluster.job(id, "tile-render", team, Priority.NORMAL, tasks, 20, 33), Duration.ofSeconds(300));
    }
}
