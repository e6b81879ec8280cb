package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gullway.controller.Controller;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;

/** The three controllers of a simulated cluster: their addresses and zones, and how they start, crash and freeze. */
final class SimulatedControllers {
    private static final Instant START_TIME = Instant.parse("2026-11-20T06:00:00Z");
    private static final int MAX_CLOCK_SKEW_MS = 1000;
    private static final int CONTROLLERS = 3;
    private static final String PUBLIC_PORT = "8080";
    private static final String PEER_PORT = "8081";

    private final SimulatedNetwork network;
    private final SplittableRandom random;
    private final SimulatedCluster.Setup setup;
    private final ResponseLog responses;
    private final Consumer<String> onViolation;
    private final SimulatedTime.SimulatedProcess loop;
    private final Map<String, SimulatedTime.SimulatedProcess> processes = new HashMap<>();
    private final Map<String, String> publicAddresses = new LinkedHashMap<>();

    /** @param onViolation called with each invariant violation that a controller detects in its own state */
    SimulatedControllers(
            SimulatedNetwork network,
            SplittableRandom random,
            SimulatedCluster.Setup setup,
            ResponseLog responses,
            Consumer<String> onViolation) {
        this.network = network;
        this.random = random;
        this.setup = setup;
        this.responses = responses;
        this.onViolation = onViolation;
        this.loop = network.time().newProcess();
        for (int i = 0; i < CONTROLLERS; i++) {
            publicAddresses.put("perch-" + i, "10.0.0." + (i + 1) + ":" + PUBLIC_PORT);
        }
    }

    /** Public addresses by controller name. */
    Map<String, String> addresses() {
        return publicAddresses;
    }

    List<String> names() {
        return List.copyOf(publicAddresses.keySet());
    }

    String address(String name) {
        return publicAddresses.get(name);
    }

    String peerAddress(String name) {
        return address(name).replace(PUBLIC_PORT, PEER_PORT);
    }

    /** The zone of a controller: perch-0 and perch-1 are in zone a, perch-2 is in zone b. */
    static String zone(String name) {
        return name.equals("perch-2") ? "b" : "a";
    }

    void startAll() {
        publicAddresses.keySet().forEach(this::start);
    }

    /** Starts the controller unless it is already running. */
    void start(String name) {
        if (processes.containsKey(name)) {
            return;
        }
        SimulatedTime.SimulatedProcess process = network.time().newProcess();
        processes.put(name, process);
        Settings settings = settings(name);
        Controller controller = new Controller(
                settings,
                OperatorSettings.DEFAULTS,
                process,
                network.client(name, process),
                skewedClock(),
                random.nextLong());
        controller.setViolationListener(onViolation);
        network.listen(settings.peerAddress(), process, controller::handlePeer);
        controller.start(() -> network.listen(
                settings.publicAddress(),
                process,
                exchange -> controller.handle(responses.recordRequest(name, exchange))));
    }

    private InstantSource skewedClock() {
        SimulatedTime time = network.time();
        int skew = random.nextInt(2 * MAX_CLOCK_SKEW_MS) - MAX_CLOCK_SKEW_MS;
        return () -> START_TIME.plusMillis(skew).plus(Duration.between(Instant.EPOCH, time.now()));
    }

    private Settings settings(String name) {
        List<Settings.Peer> peers = names().stream()
                .filter(peer -> !peer.equals(name))
                .map(peer -> new Settings.Peer(peer, zone(peer), peerAddress(peer)))
                .toList();
        return new Settings(
                name,
                zone(name),
                address(name),
                peerAddress(name),
                peers,
                SimulatedCluster.cloudAddress(),
                SimulatedCluster.storeAddress(),
                setup.teams(),
                List.of(),
                setup.heartbeatInterval(),
                SimulatedCluster.AGENT_LEASE,
                SimulatedCluster.CANCELLATION_LIMIT,
                StoreRequestMeter.REQUESTS_PER_SECOND,
                FakeStateStore.MAX_CHANGES_PER_SECOND,
                FakeStateStore.MAX_VALUE_BYTES,
                FakeStateStore.MAX_CHANGES_PER_COMMIT,
                10,
                Duration.ofSeconds(3),
                1000);
    }

    /** Kills the controller's process immediately and restarts it after the delay. */
    void crash(String name, Duration restartDelay) {
        SimulatedTime.SimulatedProcess process = processes.remove(name);
        if (process != null) {
            process.kill();
            network.close(address(name));
            network.close(peerAddress(name));
            loop.after(restartDelay, () -> start(name));
        }
    }

    /**
     * Suspends the controller for this span while clocks and the network continue. Afterwards the controller runs every
     * task that became due.
     */
    void freeze(String name, Duration span) {
        SimulatedTime.SimulatedProcess process = processes.get(name);
        if (process != null) {
            process.freeze(span);
        }
    }
}
