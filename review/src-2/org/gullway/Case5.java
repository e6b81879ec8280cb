package org.gullway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/** Jobs of a class with very small tasks come several times as often; each accepted job has to run. */
final class Case5 {
    private static final int RUN_SECONDS = 50;
    private static final int OBSERVED_SECONDS = 100;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ReviewCluster.Setup setup = new ReviewCluster.Setup();
        setup.capacity = 14;
        setup.teams.put("cartografia", new double[] {80, 192});
        setup.teams.put("guardaparques", new double[] {96, 360});
        setup.types.add(new MachineType(
                "jaguar-32", 32, 0, 256, 50, 1, 2.65, 0.87, Duration.ofSeconds(2), List.of("san-pedro")));
        int exit = 2;
        try (ReviewCluster cluster = new ReviewCluster(setup, Path.of(arguments[0], "record.txt"))) {
            cluster.note("TROUBLE=" + (trouble ? 1 : 0));
            cluster.spread = 0.1;
            cluster.start();
            if (cluster.awaitHealthy(20)) {
                exit = run(cluster, trouble ? 6 : 2) ? 0 : 1;
            }
            cluster.note("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private static boolean run(ReviewCluster cluster, int jobs) throws Exception {
        for (int i = 0; i < jobs; i++) {
            cluster.submit(
                    ReviewCluster.job("run-00000" + i, "photo-checks", i % 2 == 0 ? "cartografia" : "guardaparques",
                            Priority.HIGH, 400, 0.013, 0.02),
                    Duration.ofSeconds(RUN_SECONDS));
        }
        double until = cluster.seconds() + OBSERVED_SECONDS;
        int done = 0;
        while (cluster.seconds() < until && done < jobs) {
            Thread.sleep(5000);
            done = 0;
            for (int i = 0; i < jobs; i++) {
                done += cluster.query(cluster.nodes().get(i % 3), "run-00000" + i).contains("\"done\",") ? 1 : 0;
            }
            cluster.note("machines " + cluster.onLoop(cluster.cloud::machineCount) + ", tasks started "
                    + new TreeMap<>(cluster.tasksStarted) + ", done " + new TreeMap<>(cluster.tasksDone));
        }
        cluster.note(done + " of " + jobs + " accepted jobs are done");
        return done == jobs;
    }
}
