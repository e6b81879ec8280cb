package org.gullway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/**
 * The state service refuses one controller for 45 s while jobs of many tasks run. Afterwards that controller has to go
 * on: it answers health checks with 200 again and runs the jobs that it is given.
 */
final class Case4 {
    private static final int WARM_UP_SECONDS = 30;
    private static final int REFUSED_SECONDS = 45;
    private static final int OBSERVED_SECONDS = 26;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ReviewCluster.Setup setup = new ReviewCluster.Setup();
        // dong-xanh: 32 machines of trau-32, the teams' limits, report_s, lease_s and cancel_s as in the brief.
        setup.zone = "ba-vi";
        setup.requestsPerSecond = 100;
        setup.reportSeconds = 3;
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
            cluster.spread = 0.9;
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
        String[] teams = {"dieu-phoi", "tai-chinh"};
        for (int i = 0; i < 6; i++) {
            cluster.submit(
                    ReviewCluster.job("run-00000" + i, "sample-checks", teams[i % 3 == 0 ? 0 : 1], Priority.NORMAL,
                            20_000, 0.4, 0.9),
                    Duration.ofSeconds(20));
        }
        sleepAndReport(cluster, WARM_UP_SECONDS);
        String victim = ownerOfFewestJobs(cluster);
        if (trouble) {
            cluster.note("from now on the state service refuses " + victim + " with 503");
            cluster.onLoop(() -> {
                cluster.store.rejectFrom(victim, true);
                return null;
            });
        }
        sleepAndReport(cluster, REFUSED_SECONDS);
        if (trouble) {
            cluster.note("the state service serves " + victim + " again");
            cluster.onLoop(() -> {
                cluster.store.rejectFrom(victim, false);
                return null;
            });
        }
        double served = cluster.seconds();
        Thread.sleep(3000);
        int watches = cluster.storeRequests.getOrDefault(victim + " /watch", 0);
        int renewals = cluster.storeRequests.getOrDefault(victim + " renewals", 0);
        List<String> later = new ArrayList<>();
        for (int i = 10; i < 22; i++) {
            String id = "run-0000" + i;
            later.add(id);
            cluster.submit(
                    ReviewCluster.job(id, "payment-settle", teams[i % 2], Priority.NORMAL, 1, 0.4, 0.9),
                    Duration.ofSeconds(2));
        }
        Map<String, Integer> healthy = new TreeMap<>();
        Map<String, Integer> checks = new TreeMap<>();
        double until = served + OBSERVED_SECONDS;
        while (cluster.seconds() < until) {
            StringBuilder line = new StringBuilder("/up:");
            for (String node : cluster.nodes()) {
                int status = cluster.health(node);
                checks.merge(node, 1, Integer::sum);
                healthy.merge(node, status == 200 ? 1 : 0, Integer::sum);
                line.append(" " + node + " " + status);
            }
            cluster.note(line.toString());
            Thread.sleep(1000);
        }
        int pending = 0;
        String other = cluster.nodes().stream().filter(node -> !node.equals(victim)).findFirst().orElseThrow();
        for (String id : later) {
            pending += cluster.query(other, id).contains("\"done\":1") ? 0 : 1;
        }
        int watchesNow = cluster.storeRequests.getOrDefault(victim + " /watch", 0) - watches;
        int renewalsNow = cluster.storeRequests.getOrDefault(victim + " renewals", 0) - renewals;
        cluster.note(victim + ": process alive " + cluster.processes.get(victim).isAlive()
                + "; from 3 s after the end of the trouble on it renewed its lease " + renewalsNow
                + " times and sent " + watchesNow
                + " watches; /up answered 200 to " + healthy.get(victim) + " of " + checks.get(victim)
                + " checks, at the other controllers to "
                + cluster.nodes().stream().filter(n -> !n.equals(victim)).map(healthy::get).toList());
        cluster.note("of " + later.size() + " one-task jobs that were accepted after the trouble, " + pending
                + " have not run");
        List<String> errors = cluster.logLines(victim, "OutOfMemoryError");
        cluster.note(victim + " logged: " + (errors.isEmpty() ? "no OutOfMemoryError" : errors.get(0)));
        // The rule is broken if the controller is up and served by the state service, yet answers no health check in
        // the whole time, which is far longer than a restart (3 s) or the load balancer's first pause (3 s) take.
        boolean hangs = cluster.processes.get(victim).isAlive() && healthy.get(victim) == 0;
        boolean crashed = !cluster.processes.get(victim).isAlive();
        return !hangs && !crashed;
    }

    /** The controller that owns the fewest jobs, so that most of the load goes on without it; the leader last. */
    private static String ownerOfFewestJobs(ReviewCluster cluster) throws Exception {
        String leader = cluster.leader();
        Map<String, Integer> owned = new TreeMap<>();
        for (String node : cluster.nodes()) {
            owned.put(node, node.equals(leader) ? 100 : 0);
        }
        for (String id : List.copyOf(cluster.jobs.keySet())) {
            String owner = cluster.onLoop(() -> cluster.store.value("live/jobs/" + id).path("owner").asText());
            owned.merge(owner, 1, Integer::sum);
        }
        cluster.note("leader " + leader + ", jobs by owner (leader: plus 100) " + owned);
        return owned.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow().getKey();
    }

    private static void sleepAndReport(ReviewCluster cluster, int seconds) throws Exception {
        for (int i = 0; i < seconds; i += 5) {
            Thread.sleep(5000);
            cluster.note("leader " + cluster.leader() + ", machines "
                    + cluster.onLoop(cluster.cloud::machineCount) + ", tasks started "
                    + new TreeMap<>(cluster.tasksStarted) + ", done " + new TreeMap<>(cluster.tasksDone)
                    + ", changes of jobs' records " + cluster.onLoop(() -> cluster.store.changeCount("live/jobs")));
        }
    }
}
