package org.gullway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/** One machine of the fleet fails every task that it starts, while a single job is there to run. */
final class Case6 {
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ReviewCluster.Setup setup = new ReviewCluster.Setup();
        setup.zone = "ba-vi";
        setup.requestsPerSecond = 100;
        setup.leaseSeconds = 22;
        setup.cancelSeconds = 47;
        setup.capacity = 16;
        setup.teams.put("dieu-phoi", new double[] {336, 568});
        setup.teams.put("tai-chinh", new double[] {336, 992});
        setup.types.add(
                new MachineType("trau-32", 32, 0, 128, 30, 0.8, 1.61, 0.45, Duration.ofSeconds(2), List.of("ba-vi")));
        int exit = 2;
        try (ReviewCluster cluster = new ReviewCluster(setup, Path.of(arguments[0], "record.txt"))) {
            cluster.note("TROUBLE=" + (trouble ? 1 : 0));
            cluster.spread = 0.1;
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
        cluster.onStart = (machine, task) -> cluster.note("start " + task + " on " + machine);
        cluster.onEnd = (machine, task, done) -> {
            cluster.note((done ? "done " : "failed ") + task + " on " + machine);
        };
        // A first job brings up five machines; all its tasks complete.
        cluster.submit(
                ReviewCluster.job("run-000001", "payment-settle", "dieu-phoi", Priority.NORMAL, 18, 8, 30),
                Duration.ofSeconds(6));
        while (!cluster.query("perch-0", "run-000001").contains("done\",")) {
            Thread.sleep(1000);
        }
        Thread.sleep(1000);
        if (trouble) {
            cluster.sick.add("vm-000000");
            cluster.note("from now on vm-000000 fails every task that it starts");
        }
        cluster.submit(
                ReviewCluster.job("run-000002", "route-plan", "tai-chinh", Priority.HIGH, 1, 2, 3.9),
                Duration.ofSeconds(2));
        double until = cluster.seconds() + 90;
        String answer = "";
        while (cluster.seconds() < until && !(answer = cluster.query("perch-1", "run-000002")).contains("done\",")) {
            cluster.note("machines up: " + cluster.onLoop(
                    () -> cluster.cloud.agents().stream().map(agent -> agent.name()).toList()));
            Thread.sleep(5000);
        }
        boolean done = answer.contains("done\",");
        cluster.note("the accepted job " + (done ? "is done" : "is not done 90 s after its submission"));
        return done;
    }
}
