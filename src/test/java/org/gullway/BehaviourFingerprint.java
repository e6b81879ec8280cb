package org.gullway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/**
 * Runs a fixed list of simulated scenarios with fixed seeds and prints a hash over the contents and times of all
 * messages on the simulated network, including the messages to the state store. If the hash differs after a change, the
 * change has altered the messages or their times. Class names and log messages are not hashed.
 */
public final class BehaviourFingerprint {
    private static final int FAULT_SCENARIOS = 12;
    private static final int ZONE_BOUND_SCENARIOS = 8;
    private static final int PRINTED_HASH_BYTES = 8;

    private final MessageDigest allScenarios = sha256();

    private BehaviourFingerprint() {}

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Hashes the messages of one scenario. */
    private static final class Recorder implements SimulatedNetwork.TrafficListener {
        private final MessageDigest digest = sha256();
        private final SimulatedTime time;
        private long messages;

        Recorder(SimulatedTime time) {
            this.time = time;
        }

        private void add(byte[] part) {
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            digest.update(part);
        }

        private void add(String... texts) {
            Instant now = time.now();
            digest.update(ByteBuffer.allocate(Long.BYTES + Integer.BYTES)
                    .putLong(now.getEpochSecond())
                    .putInt(now.getNano())
                    .array());
            for (String text : texts) {
                add(text.getBytes(StandardCharsets.UTF_8));
            }
            messages++;
        }

        @Override
        public void sent(String from, String address, HttpRequest request) {
            add("sent", from, address, request.method(), request.path());
            add(request.body());
        }

        /** A code for the outcome that does not change when the constants are renamed or reordered. */
        private static String codeOf(HttpResponse.Outcome outcome) {
            return switch (outcome) {
                case ANSWERED -> "0";
                case NOT_SENT -> "1";
                case NO_SOCKET -> "2";
                case UNKNOWN -> "3";
                case TOO_LARGE -> "4";
            };
        }

        @Override
        public void completed(String from, String address, HttpResponse response) {
            add("answered", from, address, codeOf(response.outcome()), Integer.toString(response.status()));
            add(response.body());
        }
    }

    private interface Scenario {
        void run(SimulatedCluster cluster);
    }

    private void run(String name, long seed, double faultShare, int capacity, Scenario scenario) {
        // SMALL_TEAMS is a Map.of, whose iteration order differs between processes; the TreeMap fixes the order.
        SimulatedCluster.Setup setup = new SimulatedCluster.Setup(
                capacity, new TreeMap<>(SimulatedCluster.Setup.SMALL_TEAMS), Duration.ofSeconds(3), faultShare);
        Recorder[] recorder = new Recorder[1];
        SimulatedCluster cluster = new SimulatedCluster(seed, setup, time -> recorder[0] = new Recorder(time));
        scenario.run(cluster);
        byte[] hash = recorder[0].digest.digest();
        allScenarios.update(hash);
        System.out.println(name + " " + HexFormat.of().formatHex(hash, 0, PRINTED_HASH_BYTES) + " "
                + recorder[0].messages + " messages, " + cluster.startedTasks() + " starts");
    }

    /**
     * Runs all scenarios. The names of the scenarios must not change, so that the output can be compared with that of
     * earlier builds.
     */
    private void runAll() {
        run("quiet", 1, 0, 4, cluster -> {
            SimulatedScenariosTest.submitJobs(cluster, new SplittableRandom(2), 30, Duration.ofSeconds(100));
            cluster.run(Duration.ofMinutes(4));
        });
        run("crowded", 7, 0, 1, cluster -> {
            for (int i = 1; i <= 40; i++) {
                int number = i;
                cluster.after(
                        Duration.ofSeconds(2L * i),
                        () -> cluster.submit(
                                number,
                                number % 2 == 0 ? "red" : "blue",
                                SimulatedCluster.PRIORITIES.get(number % 4),
                                4,
                                number % 10 == 0 ? 16 : 4,
                                Duration.ofSeconds(18)));
            }
            cluster.run(Duration.ofSeconds(400));
        });
        for (int seed = 1; seed <= FAULT_SCENARIOS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            run("rough-" + seed, random.nextLong(), 0.01, 3, cluster -> {
                SimulatedScenariosTest.submitJobs(cluster, random.split(), 25, Duration.ofMinutes(2));
                SimulatedScenariosTest.runWithRandomFaults(cluster, random);
            });
        }
        for (int seed = 101; seed <= 100 + ZONE_BOUND_SCENARIOS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            run("bound-" + seed, random.nextLong(), 0.01, 3, cluster -> {
                SimulatedScenariosTest.submitJobs(cluster, random.split(), 10, Duration.ofMinutes(2));
                SimulatedScenariosTest.submitConstrainedJobs(cluster, random.split(), 11, 15, Duration.ofMinutes(2));
                SimulatedScenariosTest.runWithRandomFaults(cluster, random);
            });
        }
    }

    public static void main(String[] arguments) {
        BehaviourFingerprint fingerprint = new BehaviourFingerprint();
        fingerprint.runAll();
        System.out.println("fingerprint " + HexFormat.of().formatHex(fingerprint.allScenarios.digest()));
    }
}
