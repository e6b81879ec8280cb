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
 * One controller: the root of its components and its control loop. Whatever happens (a heartbeat, a request, a change in
 * the state store, the passing of time) requests a scheduling cycle; a cycle compares the desired state with the actual
 * one, sends the commands that are due, and commits the changes that are due.
 */
public final class Controller {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final int RANDOM_BITS_OF_INCARNATION = 12;

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
     * @param timeOfDay the wall clock, which drifts within the bound that the platform states
     * @param seed of everything that is decided by chance; no two processes may share it
     */
    public Controller(
            Settings settings,
            OperatorSettings operator,
            EventLoop loop,
            HttpClient httpClient,
            InstantSource timeOfDay,
            long seed) {
        this.loop = loop;
        this.cycleThrottle = new CycleThrottle(loop, this::runCycle);
        SplittableRandom random = new SplittableRandom(seed);
        this.environment = new ControllerEnvironment(
                settings,
                operator,
                loop,
                httpClient,
                timeOfDay,
                newIncarnation(settings.nodeName(), timeOfDay, random),
                clusterState,
                cycleThrottle::schedule);
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

    /** The time of day makes the number rise; random bits distinguish processes that start within a millisecond. */
    private static Incarnation newIncarnation(String node, InstantSource timeOfDay, RandomGenerator random) {
        long number =
                timeOfDay.millis() << RANDOM_BITS_OF_INCARNATION | random.nextInt(1 << RANDOM_BITS_OF_INCARNATION);
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
     * Starts to read the state store, to join the members, and to tick.
     *
     * @param openPublicAddress is run once, when this controller first holds a valid lease: before, its public address
     *     accepts no connections, since the heartbeats of many agents could keep a small machine from joining
     */
    public void start(Runnable openPublicAddress) {
        publicListener.setOpenAction(openPublicAddress);
        replicatedState.start();
        loop.every(TICK_INTERVAL, this::tick);
        loop.every(environment.operatorSettings().logInterval(), this::logMetrics);
    }

    /** Sets the listener that gets the description of every invariant that is violated. */
    public void setViolationListener(Consumer<String> listener) {
        monitoring.invariants().setViolationListener(listener);
    }

    /** Handles a request that came to the public address. */
    public void handle(HttpExchange exchange) {
        requests.router().route(exchange);
    }

    /** Handles a request of another controller, which came to the address for peers. */
    public void handlePeer(HttpExchange exchange) {
        messaging.peerExchange().handle(exchange);
    }

    /** In an outage that all controllers share it stays healthy: users get 503 and repeat their requests here. */
    private boolean isHealthy() {
        boolean canServe = replicatedState.holdsValidLease()
                || (heldLeaseBefore && messaging.peerExchange().isStoreOutageShared());
        return canServe && !placement.machineTypes().isEmpty();
    }

    private boolean isLeader() {
        return schedulingCycle.isLeader();
    }

    private void tick() {
        fleet.cloudProvisioner().reconcile(isLeader() && replicatedState.holdsValidLease());
        agents.reconciler().evictStaleAgents(loop.now());
        scheduling.backoff().retainJobsOf(clusterState);
        cycleThrottle.schedule();
    }

    private void runCycle() {
        Instant startedAt = loop.now();
        requests.userApi().completePending();
        agents.reconciler().onLeaseStatus(replicatedState.holdsValidLease(), startedAt);
        if (!replicatedState.holdsValidLease()) {
            if (heldLeaseBefore) {
                messaging.peerExchange().pollPeersDuringOutage(startedAt);
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
        cycleThrottle.delayAfter(elapsed);
        monitoring.metrics().cycleFinished(elapsed);
    }

    private void onValidLease(Instant now) {
        leadershipLog.observe(
                clusterState.leader(), clusterState.fencingToken(), clusterState.version(StoreKeys.LEADER));
        heldLeaseBefore = true;
        requests.heartbeatHandler().onLeaseAcquired();
        agents.leaseRenewal().reset();
        agents.cancellationEnforcer().onLeaseRegained(replicatedState.knownThrough());
        publicListener.openIfReady(now);
    }

    private void sendDueMessages(Instant now) {
        agents.reconciler().commandsDue(now).forEach(messaging.commandSender()::send);
        PeerExchange peerExchange = messaging.peerExchange();
        agents.reconciler().drainCompletions().forEach(peerExchange::sendCompletions);
    }

    /** Stopping tasks is safe without the state store, and the time limit of a cancellation does not wait for it. */
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
