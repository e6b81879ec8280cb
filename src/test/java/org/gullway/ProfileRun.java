package org.gullway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import jdk.jfr.Recording;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/**
 * Profiles three controllers and the fakes around them with Java Flight Recorder, in virtual time and at the size of
 * large deployments, and prints the share of processor time and of allocated memory of each activity of the
 * controllers. The sockets are simulated, so that the cost of the HTTP library is not included.
 *
 * <p>{@link ControllerProfile} measures controllers in processes of their own instead, with sockets and by thread. This
 * run is not part of the tests; docs/operations.md shows how to run it.
 */
public final class ProfileRun {
    private static final Map<String, Settings.Team> TEAMS = Map.of(
            "red", new Settings.Team("red", 9000, 30_000, 0, 0), "blue", new Settings.Team("blue", 9000, 30_000, 0, 0));
    private static final int MACHINES_PER_KIND = 180;
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(6);
    private static final Duration SUBMISSION_INTERVAL = Duration.ofMillis(820);
    private static final int RUN_SECONDS = 60;
    private static final Duration WARM_UP = Duration.ofSeconds(100);
    private static final Duration MEASURED = Duration.ofSeconds(200);
    private static final String CPU_EVENT = "jdk.ExecutionSample";
    private static final String ALLOCATION_EVENT = "jdk.ObjectAllocationSample";
    private static final String PAUSE_EVENT = "jdk.GarbageCollection";
    /** Samples that match no activity; they are assumed to come from the fakes and the simulation. */
    private static final String UNMATCHED = "fakes and simulation";

    private static final String OTHER = "other";

    /**
     * An activity of a controller. A sample belongs to it if any frame of the sample's stack is in this method.
     *
     * @param type the simple name of a class of this project, or, if it contains a dot, the prefix of class names
     * @param method the name of the method, whose lambdas match as well; empty for all methods of the class. The form
     *     "m under C.n", which no activity uses at present, matches the method m only if the stack also contains the
     *     method n of class C.
     */
    private record Activity(String name, String type, String method) {}

    /** In order of precedence: a sample belongs to the first activity that matches. */
    private static final List<Activity> ACTIVITIES = List.of(
            new Activity("logging", "org.slf4j", ""),
            new Activity("commits: encoding", "StateStoreClient", "commit"),
            new Activity("commits: rest", "ReplicatedState", "commit"),
            new Activity("step: user requests", "UserApi", "plan"),
            new Activity("step: agents", "AgentReconciler", "plan"),
            new Activity("step: finished jobs", "CompletionBuffer", "planFinishedJobs"),
            new Activity("step: quota", "QuotaPartitioner", "plan"),
            new Activity("step: reconciliation", "Reconciliation", "plan"),
            new Activity("step: provisioned machines", "CloudProvisioner", "plan"),
            new Activity("step: reserved", "ReservedScheduler", "plan"),
            new Activity("step: scavenger", "ScavengerScheduler", "plan"),
            new Activity("step: best effort", "BestEffortQueue", "plan"),
            new Activity("step: completions", "CompletionBuffer", "plan"),
            new Activity("step: scaling", "FleetAutoscaler", "plan"),
            new Activity("commands: selecting due commands", "AgentReconciler", "commandsDue"),
            new Activity("commands: encoding and sending", "CommandSender", ""),
            new Activity("ticks", "Controller", "tick"),
            new Activity("heartbeats: decoding", "Heartbeat", "parse"),
            new Activity("heartbeats: encoding responses", "AgentCommand", "encodeResponse"),
            new Activity("heartbeats: reconciling", "AgentReconciler", "onHeartbeat"),
            new Activity("heartbeats: rest", "HeartbeatHandler", ""),
            new Activity("scheduling cycles: rest", "Controller", "runCycle"),
            new Activity("peers", "PeerExchange", ""),
            new Activity("users", "UserApi", ""),
            new Activity("watch: decoding records", "RecordCodec", "decode"),
            new Activity("watch: cluster state", "ClusterState", ""),
            new Activity("state store: decoding responses", "StateStoreClient", ""),
            new Activity("state store: rest", "ReplicatedState", ""),
            new Activity("cloud", "CloudProvisioner", ""),
            new Activity(OTHER, "Controller", ""));

    private ProfileRun() {}

    /** Argument: the file for the recording; without it, a temporary file is used and deleted. */
    public static void main(String[] args) throws IOException {
        Path file = args.length > 0 ? Path.of(args[0]) : Files.createTempFile("gullway", ".jfr");
        SimulatedCluster cluster = new SimulatedCluster(
                1, new SimulatedCluster.Setup(MACHINES_PER_KIND, TEAMS, HEARTBEAT_INTERVAL, 0.0005));
        submitJobs(cluster);
        cluster.run(WARM_UP);
        int startedBefore = cluster.startedTasks();
        long startNanos = System.nanoTime();
        try (Recording recording = new Recording()) {
            recording.enable(CPU_EVENT).withPeriod(Duration.ofMillis(10));
            recording.enable(ALLOCATION_EVENT).with("throttle", "1000/s");
            recording.enable(PAUSE_EVENT);
            recording.start();
            cluster.run(MEASURED);
            recording.stop();
            recording.dump(file);
        }
        Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
        System.out.printf(
                "%d machines up, %d tasks started in %d s of virtual time, simulated in %.1f s; violations: %d%n%n",
                cluster.cloud.agents().size(),
                cluster.startedTasks() - startedBefore,
                MEASURED.toSeconds(),
                elapsed.toMillis() / 1000.0,
                cluster.violations.size());
        print(file);
        if (args.length == 0) {
            Files.delete(file);
        }
        System.exit(0);
    }

    private static void submitJobs(SimulatedCluster cluster) {
        long jobs = WARM_UP.plus(MEASURED).dividedBy(SUBMISSION_INTERVAL);
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            cluster.after(
                    SUBMISSION_INTERVAL.multipliedBy(i),
                    () -> cluster.submit(
                            number,
                            number % 2 == 0 ? "red" : "blue",
                            number % 3 == 0 ? Priority.NORMAL : Priority.HIGH,
                            10 + number * 5 % 95,
                            4,
                            Duration.ofSeconds(RUN_SECONDS + number % 20)));
        }
    }

    private static void print(Path file) throws IOException {
        Map<String, Double> samples = new TreeMap<>();
        Map<String, Double> bytes = new TreeMap<>();
        Duration pauses = Duration.ZERO;
        try (RecordingFile recording = new RecordingFile(file)) {
            while (recording.hasMoreEvents()) {
                RecordedEvent event = recording.readEvent();
                switch (event.getEventType().getName()) {
                    case CPU_EVENT -> samples.merge(activityOf(event), 1.0, Double::sum);
                    case ALLOCATION_EVENT -> bytes.merge(
                            activityOf(event), (double) event.getLong("weight"), Double::sum);
                    case PAUSE_EVENT -> pauses = pauses.plus(event.getDuration("sumOfPauses"));
                    default -> {}
                }
            }
        }
        double fakeSamples = remove(samples, UNMATCHED);
        double fakeBytes = remove(bytes, UNMATCHED);
        double allSamples = sum(samples);
        double allBytes = sum(bytes);
        System.out.println("| activity | processor time | allocated |\n| --- | --- | --- |");
        sortedByValue(samples)
                .forEach((name, count) -> System.out.printf(
                        "| %s | %.1f%% | %.1f%% |%n",
                        name, 100 * count / allSamples, 100 * bytes.getOrDefault(name, 0.0) / allBytes));
        System.out.printf(
                "%ncontrollers: %.0f samples, %.0f MB; fakes: %.0f samples, %.0f MB; garbage collection: %d ms%n",
                allSamples, allBytes / 1e6, fakeSamples, fakeBytes / 1e6, pauses.toMillis());
    }

    private static double remove(Map<String, Double> amounts, String name) {
        Double removed = amounts.remove(name);
        return removed == null ? 0 : removed;
    }

    private static double sum(Map<String, Double> amounts) {
        return amounts.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    private static Map<String, Double> sortedByValue(Map<String, Double> amounts) {
        Map<String, Double> sorted = new LinkedHashMap<>();
        amounts.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                .forEach(e -> sorted.put(e.getKey(), e.getValue()));
        return sorted;
    }

    private static String activityOf(RecordedEvent event) {
        if (event.getStackTrace() == null) {
            return OTHER;
        }
        List<RecordedFrame> frames = event.getStackTrace().getFrames();
        for (Activity activity : ACTIVITIES) {
            if (frames.stream().anyMatch(frame -> matches(frame, activity, frames))) {
                return activity.name();
            }
        }
        return UNMATCHED;
    }

    private static boolean matches(RecordedFrame frame, Activity activity, List<RecordedFrame> frames) {
        String type = frame.getMethod().getType().getName();
        if (activity.type().contains(".")) {
            return type.startsWith(activity.type());
        }
        String simple = type.substring(type.lastIndexOf('.') + 1);
        String outer = simple.contains("$") ? simple.substring(0, simple.indexOf('$')) : simple;
        if (!type.startsWith("org.gullway.") || !outer.equals(activity.type())) {
            return false;
        }
        String method = frame.getMethod().getName();
        String methodRule = activity.method();
        int underIndex = methodRule.indexOf(" under ");
        if (underIndex >= 0) {
            String caller = methodRule.substring(underIndex + " under ".length());
            return method.equals(methodRule.substring(0, underIndex))
                    && frames.stream().anyMatch(f -> isMethod(f, caller));
        }
        return methodRule.isEmpty() || method.equals(methodRule) || method.startsWith(methodRule + "$");
    }

    private static boolean isMethod(RecordedFrame frame, String classAndMethod) {
        String type = frame.getMethod().getType().getName();
        return (type.substring(type.lastIndexOf('.') + 1) + "."
                        + frame.getMethod().getName())
                .equals(classAndMethod);
    }
}
