package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.scheduling.BestEffortQueue;
import org.gullway.observability.ClusterSummary;
import org.gullway.observability.LeadershipLog;
import org.gullway.peer.PeerExchange;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;

/**
 * One controller: creates its components and runs its control loop. Every event that may require action (a heartbeat, a
 * request, a change in the state store, a timer) requests a scheduling cycle. A cycle compares the desired state with the
 * actual state, sends the commands that are due, and commits the changes that are due. While this controller holds no
 * valid lease, a cycle commits nothing and sends agents nothing but the stops of cancelled tasks.
 */
public final class Controller {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final int INCARNATION_RANDOM_BITS = 12;

    private final EventLoop loop;
    private final ControllerEnvironment environment;
    private final ClusterState clusterState = new ClusterState();
    private final Monitoring monitoring = Monitoring.create();
    private final LeadershipLog leadershipLog = new LeadershipLog();
    private final CycleThrottle cycleThrottle;
    private final ReplicatedState replicatedState;
    private final PlacementComponents placement;
    private final AgentComponents agents;
    private final SchedulingComponents scheduling;
    private final FleetComponents fleet;
    private final MessagingComponents messaging;
    private final RequestComponents requests;
    private final PublicListener publicListener;
    private final SchedulingCycle schedulingCycle;
    private boolean heldLeaseBefore;

    /**
     * @param timeOfDay the wall clock, whose drift stays within the bound that the platform states
     * @param seed the seed of all random decisions; no two processes may have the same seed
     */
    public Controller(
            Settings settings,
            OperatorSettings operatorSettings,
            EventLoop loop,
            HttpClient httpClient,
            InstantSource timeOfDay,
            long seed) {
        this.loop = loop;
        this.cycleThrottle = new CycleThrottle(loop, this::runCycle);
        SplittableRandom random = new SplittableRandom(seed);
        this.environment = new ControllerEnvironment(
                settings,
                operatorSettings,
                loop,
                httpClient,
                timeOfDay,
                newIncarnation(settings.nodeName(), timeOfDay, random),
                clusterState,
                cycleThrottle::requestCycle);
        this.replicatedState = ReplicatedStateFactory.create(environment);
        this.placement = PlacementComponents.create(environment);
        this.agents = AgentComponents.create(environment);
        this.scheduling =
                SchedulingComponents.create(environment, placement, agents.reconciler(), random, this::sendOffers);
        this.fleet = FleetComponents.create(environment, placement);
        this.messaging = MessagingComponents.create(
                environment, replicatedState, agents, scheduling.bestEffortQueue(), monitoring);
        this.requests = RequestComponents.create(
                environment, replicatedState, placement, agents, monitoring, random.split(), this::isHealthy);
        this.publicListener = new PublicListener(
                clusterState, placement.machineTypes(), messaging.peerExchange().peerNames());
        this.schedulingCycle = new SchedulingCycle(
                environment, replicatedState, agents.completionBuffer(), requests.userApi(), monitoring.metrics());
        addPlanningSteps();
    }

    /**
     * Creates the incarnation of this process. Its number contains the wall-clock time, so that the number grows with each
     * restart, and random bits, which distinguish processes that start within the same millisecond.
     */
    private static Incarnation newIncarnation(String node, InstantSource timeOfDay, RandomGenerator random) {
        long number = timeOfDay.millis() << INCARNATION_RANDOM_BITS | random.nextInt(1 << INCARNATION_RANDOM_BITS);
        return new Incarnation(node, number & Long.MAX_VALUE);
    }

    private void addPlanningSteps() {
        CompletionBuffer completionBuffer = agents.completionBuffer();
        schedulingCycle
                .addStep("user requests", requests.userApi())
                .addStep("agents", agents.reconciler())
                .addStep("finished jobs", (transaction, context) -> completionBuffer.planFinishedJobs(transaction))
                .addStep("quota", scheduling.quotaPartitioner())
                .addStep("reconciliation", scheduling.reconciliation())
                .addLeaderStep("provisioned machines", fleet.cloudProvisioner())
                .addLeaderStep("reserved", scheduling.reservedScheduler())
                .addLeaderStep("scavenger", scheduling.scavengerScheduler())
                .addStep("best effort", scheduling.bestEffortQueue())
                .addStep("completions", completionBuffer)
                .addLeaderStep("scaling", fleet.autoscaler());
    }

    /**
     * Starts to read the state store, to join the cluster as a member, and to run the periodic tasks.
     *
     * @param openPublicAddress opens the public address; is run once, while this controller holds a valid lease, see
     *     {@link PublicListener}. Until then the public address accepts no connections, since the heartbeats of many
     *     agents could prevent a controller on a small machine from joining.
     */
    public void start(Runnable openPublicAddress) {
        publicListener.setOpenAction(openPublicAddress);
        replicatedState.start();
        loop.every(TICK_INTERVAL, this::tick);
        loop.every(environment.operatorSettings().logInterval(), this::logMetrics);
    }

    /** Sets the listener that receives the description of every invariant violation. */
    public void setViolationListener(Consumer<String> listener) {
        monitoring.invariantMonitor().setViolationListener(listener);
    }

    /** Handles a request to the public address. */
    public void handle(HttpExchange exchange) {
        requests.router().route(exchange);
    }

    /** Handles a request of another controller to the peer address. */
    public void handlePeer(HttpExchange exchange) {
        messaging.peerExchange().handle(exchange);
    }

    /**
     * Returns whether health checks succeed now. A controller that held a valid lease before also stays healthy during an
     * outage of the state store that all controllers share: users get status 503 and retry their requests here.
     */
    private boolean isHealthy() {
        boolean canServe = replicatedState.holdsValidLease()
                || (heldLeaseBefore && messaging.peerExchange().isStoreOutageReportedByAllPeers());
        return canServe && !placement.machineTypes().isEmpty();
    }

    private boolean isLeader() {
        return schedulingCycle.isLeader();
    }

    private void tick() {
        fleet.cloudProvisioner().reconcile(isLeader() && replicatedState.holdsValidLease());
        agents.reconciler().evictStaleAgents(loop.now());
        scheduling.backoff().retainJobsOf(clusterState);
        cycleThrottle.requestCycle();
    }

    private void runCycle() {
        Instant startedAt = loop.now();
        requests.userApi().completePending();
        agents.reconciler().onLeaseStatus(replicatedState.holdsValidLease(), startedAt);
        if (!replicatedState.holdsValidLease()) {
            if (heldLeaseBefore) {
                messaging.peerExchange().pollPeersIfDue(startedAt);
                enforceCancellations(startedAt);
            }
            return;
        }
        onValidLease(startedAt);
        sendDueMessages(startedAt);
        if (replicatedState.canCommit()) {
            schedulingCycle.run(startedAt);
        }
        Duration elapsed = Duration.between(startedAt, loop.now());
        cycleThrottle.startPause(elapsed);
        monitoring.metrics().cycleFinished(elapsed);
    }

    private void onValidLease(Instant now) {
        leadershipLog.observe(
                clusterState.leader(), clusterState.fencingToken(), clusterState.version(StoreKeys.LEADER));
        heldLeaseBefore = true;
        requests.heartbeatHandler().onValidLease();
        agents.leaseRenewal().reset();
        agents.cancellationEnforcer().onLeaseRegained(replicatedState.knownThrough());
        publicListener.openIfReady(now);
    }

    private void sendDueMessages(Instant now) {
        agents.reconciler().commandsDue(now).forEach(messaging.commandSender()::send);
        PeerExchange peerExchange = messaging.peerExchange();
        agents.reconciler().drainCompletions().forEach(peerExchange::sendCompletions);
    }

    /**
     * Ends the tasks of cancelled jobs while this controller holds no valid lease. Stopping tasks is safe without the
     * state store, and the cancellation limit applies during an outage of the state store too.
     */
    private void enforceCancellations(Instant now) {
        messaging.commandSender().sendCancellationStops(now);
        Instant timeOfDay = environment.timeOfDay().instant();
        fleet.cloudProvisioner()
                .releaseWithoutRecord(agents.cancellationEnforcer().machinesToRelease(timeOfDay));
    }

    private void sendOffers(BestEffortQueue.OutgoingOffers offers) {
        monitoring.metrics().offerBatchSent();
        messaging.peerExchange().sendOffers(offers);
    }

    private void logMetrics() {
        monitoring.metrics().log(ClusterSummary.of(clusterState, role()));
    }

    private ClusterSummary.Role role() {
        if (!replicatedState.holdsValidLease()) {
            return ClusterSummary.Role.NO_VALID_LEASE;
        }
        return isLeader() ? ClusterSummary.Role.LEADER : ClusterSummary.Role.MEMBER;
    }
}
