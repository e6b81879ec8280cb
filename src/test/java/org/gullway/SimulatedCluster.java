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
 * A cluster in virtual time: three complete controllers, fakes of the state store, the cloud and the agents, and users
 * who submit and query jobs. {@link InvariantChecker} checks the rules of the protocol throughout.
 */
final class SimulatedCluster {
    /** The priorities in their declared order, for random choices. */
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
    final StoreRequestMeter storeRequests = new StoreRequestMeter(time);
    final ResponseLog responses = new ResponseLog(time);
    final List<String> violations;
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private Consumer<FakeAgent> bootListener = agent -> {};
    private final SimulatedControllers controllers;
    private final TestUsers users;
    private final SimulatedJobs jobs;

    /**
     * Parameters of a cluster.
     *
     * @param capacity how many machines the cloud has of each combination of type, zone and spot or on-demand
     * @param faultShare share of requests that are delayed, and share of requests that are delivered twice
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

    /** @param traffic given the cluster's virtual time, returns the listener for all messages on the network */
    SimulatedCluster(long seed, Setup setup, Function<SimulatedTime, SimulatedNetwork.TrafficListener> traffic) {
        invariants = new InvariantChecker(CANCELLATION_LIMIT, setup.teams());
        violations = invariants.violations;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(time, random.split(), setup.faultShare());
        store = new FakeStateStore(loop);
        controllers = new SimulatedControllers(
                network, random, setup, responses, violation -> violations.add("invariant: " + violation));
        network.observe(new MessageSizeRule(violations, publicAddresses(), traffic.apply(time)));
        HttpClient userClient = network.client("users", loop);
        users = new TestUsers(loop, userClient, invariants, random, publicAddresses());
        jobs = new SimulatedJobs(loop, userClient, invariants, random, publicAddresses());
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
        bootListener.accept(agent);
        network.listen(address, loop, agent::handle);
        invariants.onMachineUp(name, kind);
        return agent;
    }

    /** Sets the listener that is given each agent of a new machine before it sends its first heartbeat. */
    void onBoot(Consumer<FakeAgent> listener) {
        bootListener = listener;
    }

    private boolean isUp(String machine) {
        FakeAgent agent = cloud.agent(machine);
        return agent != null && agent.alive() && !agent.hung();
    }

    /**
     * Starts (partitioned is true) or ends a network partition between a zone and everything outside it. Messages
     * within the zone still arrive.
     */
    void setZonePartitioned(String zone, boolean partitioned) {
        List<String> insideZone = new ArrayList<>();
        List<String> outsideZone = new ArrayList<>(List.of("users", STORE, CLOUD));
        for (String node : nodes()) {
            (SimulatedControllers.zone(node).equals(zone) ? insideZone : outsideZone)
                    .addAll(List.of(node, address(node), peerAddress(node)));
        }
        for (FakeAgent agent : cloud.agents()) {
            (agent.kind().zone().equals(zone) ? insideZone : outsideZone)
                    .addAll(List.of(agent.name(), agent.address()));
        }
        for (String inside : insideZone) {
            for (String outside : outsideZone) {
                setCut(inside, outside, partitioned);
                setCut(outside, inside, partitioned);
            }
        }
    }

    /**
     * Starts (partitioned is true) or ends a network partition between this controller and its peers, in both
     * directions.
     */
    void setPeersPartitioned(String node, boolean partitioned) {
        for (String other : nodes()) {
            setCut(node, peerAddress(other), partitioned);
            setCut(other, peerAddress(node), partitioned);
        }
    }

    private void setCut(String from, String to, boolean cut) {
        if (cut) {
            network.cut(from, to);
        } else {
            network.heal(from, to);
        }
    }

    /** Kills the controller's process immediately and restarts it after the delay. */
    void crash(String name, Duration restartDelay) {
        controllers.crash(name, restartDelay);
    }

    /**
     * Suspends the controller for this span while clocks and the network continue. Afterwards the controller runs every
     * task that became due.
     */
    void freeze(String name, Duration span) {
        controllers.freeze(name, span);
    }

    /**
     * Ends the faults of the network and the state store. From now on the checker reports queries that stay unanswered
     * for long and jobs that wait although machines with enough free capacity are up.
     */
    void endFaults() {
        network.heal();
        store.clearFaults();
        invariants.onFaultsEnded(time.now());
    }

    /** Names of the controllers. */
    List<String> nodes() {
        return controllers.names();
    }

    List<String> publicAddresses() {
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

    /**
     * Placement constraints of a job.
     *
     * @param machineTypes the machine types on which tasks may run; null for any type
     * @param zone the zone in which tasks may run; null for any zone
     * @param singleZone whether all tasks must run in the same zone
     * @param spreadAcrossZones whether no zone may have more than half of the tasks
     * @param spotAllowed whether tasks may run on spot machines
     */
    record JobConstraints(
            List<String> machineTypes,
            String zone,
            boolean singleZone,
            boolean spreadAcrossZones,
            boolean spotAllowed) {
        static final JobConstraints SINGLE_ZONE = new JobConstraints(null, null, true, false, true);
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

    /** Submits one job that lacks a field and one whose tasks fit no machine; both must be rejected and not stored. */
    void submitInvalid(int number) {
        jobs.submitInvalid(number);
    }

    /** Sets the rate of queries, as a multiple of the default rate, from now on. */
    void setQueryRateFactor(int factor) {
        users.setQueryRateFactor(factor);
    }

    /** Sets the listener that is called when the last task of a job completes on its machine. */
    void onAllTasksCompleted(Consumer<TestUser> listener) {
        users.onAllTasksCompleted(listener);
    }

    /**
     * Sets the listener that is called at the first response that accepts a job and at the first response that reports
     * a final state.
     */
    void onAcceptedOrFinished(Consumer<TestUser> listener) {
        users.onAcceptedOrFinished(listener);
    }

    /** Makes the user query all controllers several times within 6 ms and repeat the submission once. */
    void queryInBursts(TestUser user, RandomGenerator random) {
        users.queryInBursts(user, random);
    }

    /** Sets the listener that is given the name of a new leader as soon as the state store contains it. */
    void onNewLeader(Consumer<String> listener) {
        store.onPut(
                StoreKeys.LEADER, value -> listener.accept(value.path("node").asText()));
    }

    /** Sets the predicate that decides by machine and job whether a task fails. */
    void setTaskFailurePredicate(BiPredicate<String, String> fails) {
        users.setTaskFailurePredicate(fails);
    }

    /** The name of the leader as recorded in the state store; null if there is none. */
    String leader() {
        JsonNode leader = store.value(StoreKeys.LEADER);
        return leader == null ? null : leader.path("node").asText();
    }

    String otherNode(String node) {
        return nodes().stream().filter(other -> !other.equals(node)).findFirst().orElseThrow();
    }

    /** Schedules the task to run after the delay in virtual time. */
    void after(Duration delay, Runnable task) {
        loop.after(delay, task);
    }

    /** Advances virtual time by this span and runs everything that is due in it. */
    void run(Duration span) {
        time.runUntil(time.now().plus(span));
    }

    List<TestUser> users() {
        return users.all();
    }

    /** The unfinished jobs, as {@link TestUsers#unfinished} returns them. */
    List<String> unfinished() {
        return users.unfinished();
    }

    int startedTasks() {
        return invariants.startedTasks();
    }
}
