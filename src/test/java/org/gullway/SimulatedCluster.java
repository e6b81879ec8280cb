package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.gullway.controller.Controller;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeCloud;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;

/** Three whole controllers with stand-ins in virtual time, users who submit and ask, and a check of the rules. */
final class SimulatedCluster {
    static final Duration LEASE = Duration.ofSeconds(20);
    static final Duration CANCEL = Duration.ofSeconds(40);
    private static final Instant START_TIME = Instant.parse("2026-11-20T06:00:00Z");
    private static final String STATE = "10.2.0.1:2379";
    private static final String CLOUD = "10.2.0.2:8443";

    final SimulatedTime time = new SimulatedTime();
    final SplittableRandom random;
    final SimulatedNetwork network;
    final FakeStateStore store;
    final FakeCloud cloud;
    final InvariantChecker invariants;
    final StoreRequestLog stateRequests = new StoreRequestLog(time);
    final ResponseLog responses = new ResponseLog(time);
    final List<String> violations;
    private final SimulatedTime.Process loop = time.process();
    private final Map<String, SimulatedTime.Process> running = new HashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final TestUsers users;
    private final Shape shape;

    /** Size of a world: machines of each type, zone and kind, teams, and how often agents report. */
    record Shape(int capacity, Map<String, Settings.Team> teams, Duration heartbeatInterval, double faultShare) {
        static final Map<String, Settings.Team> SMALL_TEAMS =
                Map.of("red", new Settings.Team("red", 16, 24, 0, 0), "blue", new Settings.Team("blue", 16, 64, 0, 0));

        static Shape small(double trouble, int capacity) {
            return new Shape(capacity, SMALL_TEAMS, Duration.ofSeconds(3), trouble);
        }
    }

    SimulatedCluster(long seed, double trouble, int capacity) {
        this(seed, Shape.small(trouble, capacity));
    }

    SimulatedCluster(long seed, Shape shape) {
        this(seed, shape, time -> SimulatedNetwork.TrafficListener.NONE);
    }

    /** @param traffic makes, for the world's time, a listener that sees all messages */
    SimulatedCluster(long seed, Shape shape, Function<SimulatedTime, SimulatedNetwork.TrafficListener> traffic) {
        this.shape = shape;
        invariants = new InvariantChecker(CANCEL, shape.teams());
        violations = invariants.violations;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(time, random.split(), shape.faultShare());
        network.observe(traffic.apply(time));
        store = new FakeStateStore(loop);
        List<MachineType> types = List.of(
                new MachineType("small", 16, 0, 64, 50, 1, 1.0, 0.3, Duration.ofSeconds(6), List.of("a", "b")),
                new MachineType("large", 32, 0, 256, 50, 1, 2.5, 0.9, Duration.ofSeconds(4), List.of("a", "b")));
        for (int i = 0; i < 3; i++) {
            addresses.put("perch-" + i, "10.0.0." + (i + 1) + ":8080");
        }
        users = new TestUsers(loop, network.client("users", loop), invariants, random, List.copyOf(addresses.values()));
        cloud = new FakeCloud(loop, types, shape.capacity(), (name, kind) -> {
            String address = "10.1.0." + Integer.parseInt(name.substring(3)) + ":9000";
            FakeAgent agent = new FakeAgent(
                    loop,
                    network.client(name, loop),
                    users,
                    random.split(),
                    new FakeAgent.Machine(name, address, kind),
                    addresses,
                    new FakeAgent.Timing(shape.heartbeatInterval(), LEASE));
            network.listen(address, loop, agent::handle);
            invariants.onMachineUp(name, kind);
            return agent;
        });
        network.listen(STATE, loop, exchange -> stateRequests.handle(exchange, store::handle));
        network.listen(CLOUD, loop, cloud::handle);
        addresses.keySet().forEach(this::startController);
        loop.every(Duration.ofSeconds(1), () -> invariants.checkWaitingJobs(this::isUp, time.now()));
    }

    private boolean isUp(String machine) {
        FakeAgent agent = cloud.agent(machine);
        return agent != null && agent.alive() && !agent.hung();
    }

    void startController(String name) {
        if (running.containsKey(name)) {
            return;
        }
        SimulatedTime.Process process = time.process();
        running.put(name, process);
        List<Settings.Peer> peers = addresses.entrySet().stream()
                .filter(e -> !e.getKey().equals(name))
                .map(e -> new Settings.Peer(
                        e.getKey(), zone(e.getKey()), e.getValue().replace("8080", "8081")))
                .toList();
        Settings settings = new Settings(
                name,
                zone(name),
                addresses.get(name),
                addresses.get(name).replace("8080", "8081"),
                peers,
                CLOUD,
                STATE,
                shape.teams(),
                List.of(),
                shape.heartbeatInterval(),
                LEASE,
                CANCEL,
                150,
                FakeStateStore.CHANGES_PER_SECOND,
                FakeStateStore.VALUE_BYTES,
                FakeStateStore.CHANGES_PER_COMMIT,
                10,
                Duration.ofSeconds(3),
                1000);
        long skew = random.nextInt(2000) - 1000;
        InstantSource clock = () -> START_TIME.plusMillis(skew).plus(Duration.between(Instant.EPOCH, time.now()));
        Controller controller = new Controller(
                settings, OperatorSettings.DEFAULTS, process, network.client(name, process), clock, random.nextLong());
        controller.onInvariantViolated(violation -> violations.add("invariant: " + violation));
        network.listen(settings.peerAddress(), process, controller::handlePeer);
        controller.start(() -> network.listen(
                settings.publicAddress(), process, exchange -> controller.handle(responses.logged(name, exchange))));
    }

    /** Two controllers are in zone a, the third in zone b. */
    static String zone(String node) {
        return node.equals("perch-2") ? "b" : "a";
    }

    /** Cuts a zone off from everything, or ends that; inside it all goes on. */
    void partitionZone(String zone, boolean cut) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of("users", STATE, CLOUD));
        for (String node : addresses.keySet()) {
            (zone(node).equals(zone) ? inside : outside).addAll(List.of(node, address(node), peerAddress(node)));
        }
        for (FakeAgent agent : cloud.agents()) {
            (agent.kind().zone().equals(zone) ? inside : outside).addAll(List.of(agent.name(), agent.address()));
        }
        for (String in : inside) {
            for (String out : outside) {
                if (cut) {
                    network.cut(in, out);
                    network.cut(out, in);
                } else {
                    network.heal(in, out);
                    network.heal(out, in);
                }
            }
        }
    }

    void crash(String name, Duration back) {
        SimulatedTime.Process process = running.remove(name);
        if (process != null) {
            process.kill();
            network.close(addresses.get(name));
            network.close(addresses.get(name).replace("8080", "8081"));
            loop.after(back, () -> startController(name));
        }
    }

    /** The controller runs nothing for so long, while clocks and network go on; then it does all that was due. */
    void freeze(String name, Duration span) {
        SimulatedTime.Process process = running.get(name);
        if (process != null) {
            process.freeze(span);
        }
    }

    /** All faults are over: from now on every job is known and nothing is forgotten. */
    void endFaults() {
        network.heal();
        store.restore();
        invariants.onFaultsEnded(time.now());
    }

    List<String> nodes() {
        return List.copyOf(addresses.keySet());
    }

    List<String> userAddresses() {
        return List.copyOf(addresses.values());
    }

    String address(String node) {
        return addresses.get(node);
    }

    String peerAddress(String node) {
        return addresses.get(node).replace("8080", "8081");
    }

    static String stateAddress() {
        return STATE;
    }

    static String cloudAddress() {
        return CLOUD;
    }

    /** Where a job's tasks may be. */
    record Bounds(List<String> types, String zone, boolean oneZone, boolean spread, boolean spot) {
        static final Bounds ONE_ZONE = new Bounds(null, null, true, false, true);
        static final Bounds SPREAD = new Bounds(null, null, false, true, true);

        static Bounds in(String zone) {
            return new Bounds(null, zone, false, false, true);
        }
    }

    TestUser submit(int number, String team, Priority priority, int tasks, double cpus, Duration runTime) {
        return submit(
                number, team, priority, tasks, cpus, runTime, new Bounds(null, null, false, false, number % 4 != 0));
    }

    TestUser submit(
            int number, String team, Priority priority, int tasks, double cpus, Duration runTime, Bounds bounds) {
        return users.submit(request(number, team, priority, tasks, cpus, runTime, bounds), runTime);
    }

    private static JobRequest request(
            int number, String team, Priority priority, int tasks, double cpus, Duration runTime, Bounds bounds) {
        return new JobRequest(
                String.format("run-%06d", number),
                cpus >= 16 ? "survey" : "render",
                team,
                JobRequest.Shape.ARRAY,
                priority,
                tasks,
                cpus,
                0,
                cpus,
                "img-" + number % 3,
                0.5,
                bounds.types(),
                bounds.zone(),
                bounds.oneZone(),
                bounds.spread(),
                bounds.spot(),
                runTime,
                Duration.ZERO,
                Duration.ZERO,
                null);
    }

    /** A submission that lacks a field, and one that fits no machine; both are refused, and nobody knows them later. */
    void submitInvalid(int number) {
        ObjectNode lacking = request(number, "blue", Priority.HIGH, 2, 4, Duration.ofSeconds(5), Bounds.SPREAD)
                .toNode();
        lacking.remove("crew");
        submitInvalid(lacking, 400);
        submitInvalid(
                request(number + 1, "blue", Priority.HIGH, 2, 64, Duration.ofSeconds(5), Bounds.SPREAD)
                        .toNode(),
                422);
    }

    private void submitInvalid(ObjectNode node, int expected) {
        String id = node.path("name_id").asText();
        HttpClient client = network.client("users", loop);
        String address = userAddresses().get(random.nextInt(addresses.size()));
        client.call(address, HttpRequest.post("/v2/runs", Cbor.encode(node), Duration.ofSeconds(5)), response -> {
            if (!invariants.onInvalidSubmission(id, expected, response.status())) {
                loop.after(Duration.ofSeconds(1), () -> submitInvalid(node, expected));
            }
        });
        loop.after(
                Duration.ofSeconds(8),
                () -> client.call(
                        address,
                        HttpRequest.get("/v2/runs/" + id, Duration.ofSeconds(2)),
                        response -> invariants.onUnknownJobQueried(id, response.status())));
    }

    /** From now on users ask so many times as often. */
    void multiplyQueryRate(int times) {
        users.multiplyQueryRate(times);
    }

    /** Is told at the very moment at which the last task of a job has completed. */
    void onDone(Consumer<TestUser> told) {
        users.onDone(told);
    }

    /** Is told at the very moment at which a user hears that its job is accepted, and that it is done or cancelled. */
    void onStateChange(Consumer<TestUser> told) {
        users.onStateChange(told);
    }

    /** The user asks at all nodes, again and again within milliseconds, and repeats the submission. */
    void queryInBursts(TestUser user, RandomGenerator random) {
        users.queryInBursts(user, random);
    }

    /** Is given the name of a new leader at the very moment at which the state store has it. */
    void onNewLeader(Consumer<String> told) {
        store.onPut(StoreKeys.LEADER, value -> told.accept(value.path("node").asText()));
    }

    /** Says of a machine and a job whether its tasks fail there. */
    void failTasks(BiPredicate<String, String> fails) {
        users.failTasks(fails);
    }

    /** The name of the controller that is the leader by the state store; null if there is none. */
    String leader() {
        JsonNode leader = store.value(StoreKeys.LEADER);
        return leader == null ? null : leader.path("node").asText();
    }

    String otherNode(String node) {
        return nodes().stream().filter(n -> !n.equals(node)).findFirst().orElseThrow();
    }

    /** Cuts the connections of this controller to the others, both ways, or ends that. */
    void partitionPeers(String node, boolean cut) {
        for (String other : nodes()) {
            if (cut) {
                network.cut(node, peerAddress(other));
                network.cut(other, peerAddress(node));
            } else {
                network.heal(node, peerAddress(other));
                network.heal(other, peerAddress(node));
            }
        }
    }

    void after(Duration delay, Runnable task) {
        loop.after(delay, task);
    }

    void run(Duration span) {
        time.runUntil(time.now().plus(span));
    }

    List<TestUser> users() {
        return users.all();
    }

    List<String> unfinished() {
        return users.unfinished();
    }

    int startedTasks() {
        return invariants.startedTasks();
    }
}
