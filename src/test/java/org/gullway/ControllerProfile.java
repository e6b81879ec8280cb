package org.gullway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/**
 * Measures the processor time of controllers in processes of their own, started with the command of the deploy file and
 * connected over loopback sockets to fakes. For each phase (start of all controllers, steady load, a burst of jobs,
 * restart of all controllers) it prints the processor time by thread name, which separates the JIT compiler, the
 * garbage collector and the event loop.
 *
 * <p>{@link ProfileRun} measures simulated controllers in virtual time instead, by activity. This run is not part of
 * the tests; docs/operations.md shows how to run it.
 */
public final class ControllerProfile {
    private static final Map<String, Settings.Team> TEAMS = Map.of(
            "red", new Settings.Team("red", 9000, 30_000, 0, 0), "blue", new Settings.Team("blue", 9000, 30_000, 0, 0));
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(6);
    private static final Duration AGENT_LEASE = Duration.ofSeconds(32);
    private static final Duration CANCELLATION_LIMIT = Duration.ofSeconds(62);
    private static final Duration MEMBERSHIP_LEASE = Duration.ofSeconds(6);
    private static final Duration SUBMISSION_INTERVAL = Duration.ofMillis(820);
    private static final int BURST_FACTOR = 3;
    private static final int MACHINE_KINDS = 8;
    private static final int NANOS_PER_TICK = 10_000_000;
    /** Index of the field with the user-mode ticks, counted after the thread name in /proc/PID/task/TID/stat. */
    private static final int USER_TICKS = 11;

    /** Index of the field with the kernel-mode ticks, counted in the same way. */
    private static final int SYSTEM_TICKS = 12;

    private final LoopbackCluster cluster;
    private final InvariantChecker invariants = new InvariantChecker(CANCELLATION_LIMIT, TEAMS);
    private final SplittableRandom random = new SplittableRandom(1);
    private TestUsers users;
    private int jobs;
    private int jobsPerSubmission = 1;
    private Map<String, Long> ticksAtPhaseStart = Map.of();

    private ControllerProfile(int machines, List<String> command) throws IOException {
        LoopbackCluster.Setup setup = new LoopbackCluster.Setup(
                HEARTBEAT_INTERVAL,
                AGENT_LEASE,
                CANCELLATION_LIMIT,
                MEMBERSHIP_LEASE,
                machines / MACHINE_KINDS,
                TEAMS,
                machines,
                command,
                "info");
        cluster = new LoopbackCluster(1, setup, System.out::println, (name, kind) -> {
            invariants.onMachineUp(name, kind);
            return users;
        });
    }

    /** Arguments: the maximum number of machines, then options of the controllers' Java virtual machines. */
    public static void main(String[] arguments) throws Exception {
        Logger.getLogger("io.undertow").setLevel(Level.WARNING);
        int machines = Integer.parseInt(arguments[0]);
        ControllerProfile profile =
                new ControllerProfile(machines, command(List.of(arguments).subList(1, arguments.length)));
        profile.run();
        System.exit(0);
    }

    /** The command line of the deploy file with these additional options of the Java virtual machine. */
    private static List<String> command(List<String> options) throws IOException {
        String deploy = Files.readString(Path.of("deploy", "service.toml"));
        String runLine = deploy.lines()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> words =
                new ArrayList<>(List.of(runLine.substring(runLine.indexOf('"') + 1, runLine.lastIndexOf('"'))
                        .split(" ", -1)));
        words.set(0, LoopbackCluster.Setup.java());
        words.remove("--config");
        words.addAll(1, options);
        return words;
    }

    private void run() throws InterruptedException {
        onLoop(() -> {
            users = new TestUsers(
                    cluster.loop, cluster.userClient(), invariants, random.split(), cluster.publicAddresses());
            cluster.start();
        });
        phase("start of all controllers", Duration.ofSeconds(6));
        onLoop(this::submitNext);
        phase("first jobs, machines boot", Duration.ofSeconds(60));
        phase("steady load", Duration.ofSeconds(30));
        jobsPerSubmission = BURST_FACTOR;
        phase("burst, " + BURST_FACTOR + " times as many jobs", Duration.ofSeconds(30));
        jobsPerSubmission = 1;
        phase("after the burst", Duration.ofSeconds(20));
        cluster.nodes().forEach(cluster::terminate);
        Thread.sleep(3000);
        ticksAtPhaseStart = Map.of();
        cluster.nodes().forEach(cluster::startController);
        phase("restart of all controllers, first 5 s", Duration.ofSeconds(5));
        phase("restart of all controllers, next 25 s", Duration.ofSeconds(25));
        phase("steady load after the restart", Duration.ofSeconds(30));
        cluster.nodes().forEach(cluster::terminate);
        Thread.sleep(3000);
        System.out.println("violations: " + invariants.violations);
        cluster.close();
    }

    private void onLoop(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        cluster.loop.execute(() -> {
            task.run();
            done.countDown();
        });
        done.await();
    }

    private void submitNext() {
        for (int i = 0; i < jobsPerSubmission; i++) {
            jobs++;
            users.submit(request(jobs), Duration.ofSeconds(20 + jobs % 60));
        }
        cluster.loop.after(SUBMISSION_INTERVAL, this::submitNext);
    }

    private static JobRequest request(int number) {
        return new JobRequest(
                String.format("run-%06d", number),
                "render",
                number % 2 == 0 ? "red" : "blue",
                JobRequest.Shape.ARRAY,
                number % 3 == 0 ? Priority.NORMAL : Priority.HIGH,
                10 + number * 5 % 95,
                4,
                0,
                4,
                "img-" + number % 8,
                0.5,
                null,
                null,
                false,
                false,
                true,
                Duration.ofSeconds(40),
                Duration.ZERO,
                Duration.ZERO,
                null);
    }

    /** Waits for this duration and prints the processor time that the controllers' threads took in it. */
    private void phase(String name, Duration length) throws InterruptedException {
        int startedBefore = invariants.startedTasks();
        Thread.sleep(length.toMillis());
        Map<String, Long> ticksNow = processorTicks();
        System.out.printf(
                "%n%s, %d s: %d machines up, %d jobs so far, %d tasks started%n",
                name,
                length.toSeconds(),
                cluster.cloud.agents().size(),
                jobs,
                invariants.startedTasks() - startedBefore);
        Map<String, Long> byThread = new TreeMap<>();
        ticksNow.forEach((key, ticks) -> byThread.merge(
                key.substring(key.indexOf(' ') + 1), ticks - ticksAtPhaseStart.getOrDefault(key, 0L), Long::sum));
        byThread.forEach((thread, ticks) -> {
            if (ticks > 0) {
                System.out.printf(
                        "  %-20s %7d ms  %6.1f ms/s per controller%n",
                        thread,
                        ticks * NANOS_PER_TICK / 1_000_000,
                        ticks * NANOS_PER_TICK / 1e6 / length.toMillis() * 1000 / 3);
            }
        });
        ticksAtPhaseStart = ticksNow;
    }

    /** Ticks of processor time by process id and thread name. */
    private Map<String, Long> processorTicks() {
        Map<String, Long> ticks = new HashMap<>();
        cluster.processIds().values().forEach(pid -> {
            try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
                for (Path thread : threads.toList()) {
                    String stat = Files.readString(thread.resolve("stat"));
                    String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
                    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
                    ticks.merge(
                            pid + " " + name,
                            Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]),
                            Long::sum);
                }
            } catch (IOException e) {
                System.out.println("cannot read the processor time of process " + pid + ": " + e.getMessage());
            }
        });
        return ticks;
    }
}
