package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeCloud;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.gullway.transport.HttpClient;

/**
 * Three whole controllers with stand-ins in virtual time, users who submit jobs and query them, and a check of the
 * protocol's rules.
 */
final class SimulatedCluster {
    /** All priorities, for choices among them. */
    static final List<Priority> PRIORITIES = List.of(Priority.values());

    static final Duration AGENT_LEASE = Duration.ofSeconds(20);
    static final Duration CANCELLATION_LIMIT = Duration.ofSeconds(40);
    private static final String STORE = "10.2.0.1:2379";
    private static final String CLOUD = "10.2.0.2:8443";

    final SimulatedTime time = new SimulatedTime();
    final SplittableRandom random;
    final SimulatedNetwork network;
    final FakeStateStore store;
    final FakeCloud cloud;
    final InvariantChecker invariants;
    final StoreRequestLog storeRequests = new StoreRequestLog(time);
    final ResponseLog responses = new ResponseLog(time);
    final List<String> violations;
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private final SimulatedControllers controllers;
    private final TestUsers users;
    private final SimulatedJobs jobs;

    /**
     * Size of a cluster.
     *
     * @param capacity machines of each type, zone and kind
     * @param faultShare share of messages that are late, or repeated
     */
    record Setup(int capacity, Map<String, Settings.Team> teams, Duration heartbeatInterval, double faultShare) {
        static final Map<String, Settings.Team> SMALL_TEAMS =
                Map.of("red", new Settings.Team("red", 16, 24, 0, 0), "blue", new Settings.Team("blue", 16, 64, 0, 0));

        static Setup small(double faultShare, int capacity) {
            return new Setup(capacity, SMALL_TEAMS, Duration.ofSeconds(3), faultShare);
        }
    }

    SimulatedCluster(long seed, double faultShare, int capacity) {
        this(seed, Setup.small(faultShare, capacity));
    }

    SimulatedCluster(long seed, Setup setup) {
        this(seed, setup, time -> SimulatedNetwork.TrafficListener.NONE);
    }

    /** @param traffic makes, for the cluster's time, a listener that sees all messages */
    SimulatedCluster(long seed, Setup setup, Function<SimulatedTime, SimulatedNetwork.TrafficListener> traffic) {
        invariants = new InvariantChecker(CANCELLATION_LIMIT, setup.teams());
        violations = invariants.violations;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(time, random.split(), setup.faultShare());
        network.observe(traffic.apply(time));
        store = new FakeStateStore(loop);
        controllers = new SimulatedControllers(
                network, random, setup, responses, violation -> violations.add("invariant: " + violation));
        HttpClient userClient = network.client("users", loop);
        users = new TestUsers(loop, userClient, invariants, random, userAddresses());
        jobs = new SimulatedJobs(loop, userClient, invariants, random, userAddresses());
        cloud = new FakeCloud(loop, machineTypes(), setup.capacity(), (name, kind) -> boot(name, kind, setup));
        network.listen(STORE, loop, exchange -> storeRequests.handle(exchange, store::handle));
        network.listen(CLOUD, loop, cloud::handle);
        controllers.startAll();
        loop.every(Duration.ofSeconds(1), () -> invariants.checkStarvation(this::isUp, time.now()));
    }

    private static List<MachineType> machineTypes() {
        return List.of(
                new MachineType("small", 16, 0, 64, 50, 1, 1.0, 0.3, Duration.ofSeconds(6), List.of("a", "b")),
                new MachineType("large", 32, 0, 256, 50, 1, 2.5, 0.9, Duration.ofSeconds(4), List.of("a", "b")));
    }

    private FakeAgent boot(String name, FakeAgent.Kind kind, Setup setup) {
        String address = "10.1.0." + Integer.parseInt(name.substring(3)) + ":9000";
        FakeAgent agent = new FakeAgent(
                loop,
                network.client(name, loop),
                users,
                random.split(),
                new FakeAgent.Machine(name, address, kind),
                controllers.addresses(),
                new FakeAgent.Timing(setup.heartbeatInterval(), AGENT_LEASE));
        network.listen(address, loop, agent::handle);
        invariants.onMachineUp(name, kind);
        return agent;
    }

    private boolean isUp(String machine) {
        FakeAgent agent = cloud.agent(machine);
        return agent != null && agent.alive() && !agent.hung();
    }

    /** Partitions a zone from everything else, or ends that; messages inside of it still arrive. */
    void partitionZone(String zone, boolean cut) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of("users", STORE, CLOUD));
        for (String node : nodes()) {
            (SimulatedControllers.zone(node).equals(zone) ? inside : outside)
                    .addAll(List.of(node, address(node), peerAddress(node)));
        }
        for (FakeAgent agent : cloud.agents()) {
            (agent.kind().zone().equals(zone) ? inside : outside).addAll(List.of(agent.name(), agent.address()));
        }
        for (String in : inside) {
            for (String out : outside) {
                setCut(in, out, cut);
                setCut(out, in, cut);
            }
        }
    }

    /** Cuts the connections of this controller to the others, both ways, or ends that. */
    void partitionPeers(String node, boolean cut) {
        for (String other : nodes()) {
            setCut(node, peerAddress(other), cut);
            setCut(other, peerAddress(node), cut);
        }
    }

    private void setCut(String from, String to, boolean cut) {
        if (cut) {
            network.cut(from, to);
        } else {
            network.heal(from, to);
        }
    }

    /** Ends the controller's process at once; it starts again after the delay. */
    void crash(String name, Duration restartDelay) {
        controllers.crash(name, restartDelay);
    }

    /** The controller runs nothing for this span, while clocks and network go on; then it does all that was due. */
    void freeze(String name, Duration span) {
        controllers.freeze(name, span);
    }

    /** Ends all faults: from now on no query may go unanswered for long, and no job may wait beside free machines. */
    void endFaults() {
        network.heal();
        store.clearFaults();
        invariants.onFaultsEnded(time.now());
    }

    /** Names of the controllers. */
    List<String> nodes() {
        return controllers.names();
    }

    List<String> userAddresses() {
        return List.copyOf(controllers.addresses().values());
    }

    String address(String node) {
        return controllers.address(node);
    }

    String peerAddress(String node) {
        return controllers.peerAddress(node);
    }

    static String storeAddress() {
        return STORE;
    }

    static String cloudAddress() {
        return CLOUD;
    }

    /** Where a job's tasks may run; null for any type or zone. */
    record JobConstraints(List<String> types, String zone, boolean oneZone, boolean spread, boolean spot) {
        static final JobConstraints ONE_ZONE = new JobConstraints(null, null, true, false, true);
        static final JobConstraints SPREAD = new JobConstraints(null, null, false, true, true);

        static JobConstraints in(String zone) {
            return new JobConstraints(null, zone, false, false, true);
        }
    }

    TestUser submit(int number, String team, Priority priority, int tasks, double cpus, Duration runTime) {
        return submit(
                number,
                team,
                priority,
                tasks,
                cpus,
                runTime,
                new JobConstraints(null, null, false, false, number % 4 != 0));
    }

    TestUser submit(
            int number,
            String team,
            Priority priority,
            int tasks,
            double cpus,
            Duration runTime,
            JobConstraints constraints) {
        return users.submit(SimulatedJobs.array(number, team, priority, tasks, cpus, runTime, constraints), runTime);
    }

    /** A submission that lacks a field, and one that fits no machine; both are refused, and leave no job. */
    void submitInvalid(int number) {
        jobs.submitInvalid(number);
    }

    /** From now on users query this many times as often. */
    void multiplyQueryRate(int times) {
        users.multiplyQueryRate(times);
    }

    /** The listener is called at the moment at which the last task of a job has completed. */
    void onAllTasksCompleted(Consumer<TestUser> listener) {
        users.onAllTasksCompleted(listener);
    }

    /** The listener is called at the first response that accepts a job, and at the first one with a final state. */
    void onAcceptedOrFinished(Consumer<TestUser> listener) {
        users.onAcceptedOrFinished(listener);
    }

    /** The user queries all controllers, several times within milliseconds, and repeats the submission. */
    void queryInBursts(TestUser user, RandomGenerator random) {
        users.queryInBursts(user, random);
    }

    /** The listener is given the name of a new leader at the moment at which the state store has it. */
    void onNewLeader(Consumer<String> listener) {
        store.onPut(
                StoreKeys.LEADER, value -> listener.accept(value.path("node").asText()));
    }

    /** Decides by machine and job whether a task fails. */
    void failTasks(BiPredicate<String, String> fails) {
        users.failTasks(fails);
    }

    /** The name of the leader by the state store; null if there is none. */
    String leader() {
        JsonNode leader = store.value(StoreKeys.LEADER);
        return leader == null ? null : leader.path("node").asText();
    }

    String otherNode(String node) {
        return nodes().stream().filter(n -> !n.equals(node)).findFirst().orElseThrow();
    }

    /** Runs the task after the delay in virtual time. */
    void after(Duration delay, Runnable task) {
        loop.after(delay, task);
    }

    /** Lets this span of virtual time pass. */
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
