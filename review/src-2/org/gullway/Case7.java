package org.gullway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/** After a burst of urgent jobs, a small job of priority normal is submitted; every machine has room for its task. */
final class Case7 {
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ReviewCluster.Setup setup = new ReviewCluster.Setup();
        setup.zone = "ba-vi";
        setup.requestsPerSecond = 100;
        setup.leaseSeconds = 22;
        setup.cancelSeconds = 47;
        // 32 machines trau-32: 16 cheap ones and 16 others.
        setup.capacity = 16;
        setup.teams.put("dieu-phoi", new double[] {336, 568});
        setup.teams.put("tai-chinh", new double[] {336, 992});
        setup.types.add(
                new MachineType("trau-32", 32, 0, 128, 30, 0.8, 1.61, 0.45, Duration.ofSeconds(2), List.of("ba-vi")));
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
        cluster.onStart = (machine, task) -> startedAt.putIfAbsent(task, cluster.seconds());
        // The class tank-alert: four jobs, which fill the machines but for 2 CPUs each; in the burst eight.
        submitAlerts(cluster, 0, 4);
        double until = cluster.seconds() + 15;
        while (startedAt.size() < 192 && cluster.seconds() < until) {
            Thread.sleep(200);
        }
        if (startedAt.size() < 192) {
            throw new IllegalStateException("the urgent tasks did not start: " + startedAt.size());
        }
        if (trouble) {
            submitAlerts(cluster, 4, 8);
        }
        Thread.sleep(1000);
        cluster.note(startedAt.size() + " urgent tasks run on " + cluster.onLoop(cluster.cloud::machineCount)
                + " machines, each of which has 2 CPUs and 80 GB free; all submissions of the burst are over");
        cluster.submit(
                ReviewCluster.job("run-000010", "payment-settle", "tai-chinh", Priority.NORMAL, 1, 1.5, 3),
                Duration.ofSeconds(10));
        double submitted = cluster.seconds();
        while (cluster.seconds() < submitted + 91 && !startedAt.containsKey("run-000010/0")) {
            Thread.sleep(500);
            if (Math.round(cluster.seconds() - submitted) % 15 == 0) {
                cluster.query("perch-0", "run-000010");
            }
        }
        boolean started = startedAt.containsKey("run-000010/0");
        cluster.note("the job of priority normal "
                + (started ? "has started" : "has not started 90 s after its submission") + "; urgent tasks that run "
                + (startedAt.size() - (started ? 1 : 0)) + ", cordoned machines "
                + (cluster.onLoop(() -> String.valueOf(cluster.store.value("live/closed"))).split("vm-").length - 1));
        return started;
    }

    private static void submitAlerts(ReviewCluster cluster, int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            cluster.submit(
                    ReviewCluster.job("run-00000" + i, "tank-alert", i % 2 == 0 ? "dieu-phoi" : "tai-chinh",
                            Priority.HIGH, 48, 5, 8),
                    Duration.ofSeconds(118));
        }
    }
}
