package org.gullway;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs controllers of two builds beside each other under the load and the rules of {@link SoakRun}, on the same settings
 * files and the same content of the state store. Not part of the tests, since it needs the jar of an earlier build.
 *
 * <p>Three controllers of the old build are replaced one after the other, and each mixture loses one controller to a
 * crash. Then all controllers of the new build are replaced by the old build at once, which has to read what the new one
 * wrote.
 */
public final class MixedVersionRun {
    private static final Duration FIRST_STEP = Duration.ofSeconds(8);
    private static final Duration STEP = Duration.ofSeconds(8);
    private static final Duration DOWNTIME = Duration.ofMillis(300);
    /** Longer than a job may go without an answer; all jobs should be finished by then. */
    private static final Duration AFTERWARDS = Duration.ofSeconds(80);

    private static final List<String> CONTROLLERS = List.of("perch-0", "perch-1", "perch-2");

    private final List<String> oldCommand;
    private final List<String> newCommand;
    private final List<FaultSchedule.Fault> steps = new ArrayList<>();
    private Duration next = FIRST_STEP;

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
        steps.add(new FaultSchedule.Fault(next, description, action));
        next = next.plus(STEP);
    }

    private void replace(List<String> controllers, List<String> command, String build) {
        add(controllers + " replaced by the " + build + " build", cluster -> {
            controllers.forEach(name -> cluster.useCommand(name, command));
            controllers.forEach(name -> crash(cluster, name));
        });
    }

    private void crashOf(String controller) {
        add("crash of " + controller, cluster -> crash(cluster, controller));
    }

    private static void crash(LoopbackCluster cluster, String controller) {
        cluster.kill(controller);
        cluster.loop.after(DOWNTIME, () -> cluster.startController(controller));
    }

    private List<FaultSchedule.Fault> schedule() {
        replace(List.of("perch-0"), newCommand, "new");
        crashOf("perch-1");
        replace(List.of("perch-1"), newCommand, "new");
        crashOf("perch-0");
        replace(List.of("perch-2"), newCommand, "new");
        replace(CONTROLLERS, oldCommand, "old");
        return steps;
    }

    /** Arguments: the jar of the old build, the jar of the new build, the first seed, and the number of runs. */
    public static void main(String[] arguments) throws Exception {
        Logger.getLogger("io.undertow").setLevel(Level.WARNING);
        Path oldJar = Path.of(arguments[0]);
        Path newJar = Path.of(arguments[1]);
        if (Files.mismatch(oldJar, newJar) == -1) {
            throw new IllegalArgumentException("both jars are the same: " + oldJar + ", " + newJar);
        }
        long first = Long.parseLong(arguments[2]);
        int failed = 0;
        for (long seed = first; seed < first + Integer.parseInt(arguments[3]); seed++) {
            MixedVersionRun run = new MixedVersionRun(oldJar, newJar);
            List<FaultSchedule.Fault> schedule = run.schedule();
            SoakRun.Length length = new SoakRun.Length(run.next, AFTERWARDS);
            SoakRun.Outcome outcome = SoakRun.play(
                    seed,
                    length,
                    schedule,
                    cluster -> CONTROLLERS.forEach(name -> cluster.useCommand(name, run.oldCommand)));
            schedule.forEach(System.out::println);
            System.out.println(outcome);
            System.out.println(outcome.failureReport());
            outcome.unfinished().forEach(job -> System.out.println("  unfinished: " + job));
            failed += outcome.violations().isEmpty() && outcome.unfinished().isEmpty() ? 0 : 1;
        }
        System.out.println(failed + " runs with a rule broken or a job unfinished");
        System.exit(failed == 0 ? 0 : 1);
    }
}
