package org.gullway;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Tests a rolling upgrade and a rollback, in which each controller is killed and then started from the other build.
 * Controllers of two builds run side by side under the load and the checks of {@link SoakRun}, with the same settings
 * files and the same state store. Not part of the tests, since it needs the jar of an earlier build.
 *
 * <p>Three controllers of the old build are replaced one after the other by the new build, and one controller crashes
 * in each mixture of the two builds. Then all controllers are replaced by the old build at once, which has to read the
 * records that the new build wrote.
 */
public final class MixedVersionRun {
    private static final Duration FIRST_STEP_AT = Duration.ofSeconds(8);
    private static final Duration STEP_INTERVAL = Duration.ofSeconds(8);
    private static final Duration RESTART_DELAY = Duration.ofMillis(300);
    /**
     * The phase without faults after the last step, at the end of which all jobs must be finished. It is longer than
     * {@link AvailabilityRules} allows queries about a job to stay unanswered after the faults.
     */
    private static final Duration RECOVERY = Duration.ofSeconds(80);

    private static final List<String> CONTROLLERS = List.of("perch-0", "perch-1", "perch-2");

    private final List<String> oldCommand;
    private final List<String> newCommand;
    /** The replacements and crashes, which {@link SoakRun} applies as faults. */
    private final List<FaultSchedule.Fault> steps = new ArrayList<>();

    private Duration nextStepAt = FIRST_STEP_AT;

    private MixedVersionRun(Path oldJar, Path newJar) {
        this.oldCommand = command(oldJar);
        this.newCommand = command(newJar);
    }

    private static List<String> command(Path jar) {
        return List.of(
                LoopbackCluster.Setup.java(),
                "-Xmx96m",
                "-Xss512k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-jar",
                jar.toAbsolutePath().toString());
    }

    private void add(String description, FaultSchedule.Action action) {
        steps.add(new FaultSchedule.Fault(nextStepAt, description, action));
        nextStepAt = nextStepAt.plus(STEP_INTERVAL);
    }

    private void addReplacement(List<String> controllers, List<String> command, String build) {
        add(controllers + " replaced by the " + build + " build", cluster -> {
            controllers.forEach(name -> cluster.useCommand(name, command));
            controllers.forEach(name -> crash(cluster, name));
        });
    }

    private void addCrash(String controller) {
        add("crash of " + controller, cluster -> crash(cluster, controller));
    }

    private static void crash(LoopbackCluster cluster, String controller) {
        cluster.kill(controller);
        cluster.loop.after(RESTART_DELAY, () -> cluster.startController(controller));
    }

    private List<FaultSchedule.Fault> schedule() {
        addReplacement(List.of("perch-0"), newCommand, "new");
        addCrash("perch-1");
        addReplacement(List.of("perch-1"), newCommand, "new");
        addCrash("perch-0");
        addReplacement(List.of("perch-2"), newCommand, "new");
        addReplacement(CONTROLLERS, oldCommand, "old");
        return steps;
    }

    /** Arguments: the jar of the old build, the jar of the new build, the first seed, and the number of runs. */
    public static void main(String[] arguments) throws Exception {
        Logger.getLogger("io.undertow").setLevel(Level.WARNING);
        Path oldJar = Path.of(arguments[0]);
        Path newJar = Path.of(arguments[1]);
        if (Files.mismatch(oldJar, newJar) == -1) {
            throw new IllegalArgumentException("both jars have the same content: " + oldJar + ", " + newJar);
        }
        long firstSeed = Long.parseLong(arguments[2]);
        int failedRuns = 0;
        for (long seed = firstSeed; seed < firstSeed + Integer.parseInt(arguments[3]); seed++) {
            MixedVersionRun run = new MixedVersionRun(oldJar, newJar);
            List<FaultSchedule.Fault> schedule = run.schedule();
            SoakRun.Durations durations = new SoakRun.Durations(run.nextStepAt, RECOVERY);
            SoakRun.Outcome outcome = SoakRun.run(
                    seed,
                    durations,
                    schedule,
                    cluster -> CONTROLLERS.forEach(name -> cluster.useCommand(name, run.oldCommand)));
            schedule.forEach(System.out::println);
            System.out.println(outcome);
            System.out.println(outcome.failureReport());
            outcome.unfinished().forEach(job -> System.out.println("  unfinished: " + job));
            failedRuns += outcome.violations().isEmpty() && outcome.unfinished().isEmpty() ? 0 : 1;
        }
        System.out.println(failedRuns + " runs with violations or unfinished jobs");
        System.exit(failedRuns == 0 ? 0 : 1);
    }
}
