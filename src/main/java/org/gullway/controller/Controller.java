package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.cycle.ErrorIsolation;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
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
 * A controller, which creates its components and runs its control loop. Every event that may require action (a
 * heartbeat, a request, a change in the state store, a timer) requests a scheduling cycle. A cycle compares the desired
 * state with the actual state, sends the commands that are due, and commits the changes that are due.
 *
 * <p>Commands and commits require a valid membership lease and a fresh cluster state, see
 * {@link ReplicatedState#holdsValidLease}. If the lease was valid before and is not any more, a cycle polls the peers
 * and enforces cancellations instead.
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
    private final PublicAddressOpener publicAddressOpener;
    private final SchedulingCycle schedulingCycle;
    private boolean hasHeldValidLease;

    /**
     * @param wallClockTime the wall clock; the platform guarantees a bound for its drift, which is not among the
     *     settings
     * @param seed the seed of all random decisions and of the random bits of the incarnation number; must differ
     *     between processes
     */
    public Controller(
            Settings settings,
            OperatorSettings operatorSettings,
            EventLoop loop,
            HttpClient httpClient,
            InstantSource wallClockTime,
            long seed) {
        this.loop = loop;
        this.cycleThrottle = new CycleThrottle(loop, this::runCycle);
        SplittableRandom random = new SplittableRandom(seed);
        this.environment = new ControllerEnvironment(
                settings,
                operatorSettings,
                loop,
                httpClient,
                wallClockTime,
                newIncarnation(settings.nodeName(), wallClockTime, random),
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
        this.publicAddressOpener = new PublicAddressOpener(
                clusterState, placement.machineTypes(), messaging.peerExchange().peerNames());
        this.schedulingCycle = new SchedulingCycle(
                environment, replicatedState, agents.completionBuffer(), requests.userApi(), monitoring.metrics());
        addPlanningSteps();
    }

    /**
     * Creates the incarnation of this process. The upper bits of its number are the wall-clock time, so that the number
     * grows with each restart. The lower bits are random, to distinguish processes that start in the same millisecond.
     * The mask keeps the number non-negative.
     */
    private static Incarnation newIncarnation(String node, InstantSource wallClockTime, RandomGenerator random) {
        long number = wallClockTime.millis() << INCARNATION_RANDOM_BITS | random.nextInt(1 << INCARNATION_RANDOM_BITS);
        return new Incarnation(node, number & Long.MAX_VALUE);
    }

    /**
     * Adds the steps in the order of their precedence: each step sees the changes of the steps before it, and uses only
     * the capacity of the transaction that they have left.
     */
    private void addPlanningSteps() {
        CompletionBuffer completionBuffer = agents.completionBuffer();
        schedulingCycle
                .addStep("user_requests", requests.userApi())
                .addStep("agent_reconciliation", agents.reconciler())
                .addStep("finished_jobs", (transaction, context) -> completionBuffer.planFinishedJobs(transaction))
                .addStep("quota_partitions", scheduling.quotaPartitioner())
                .addStep("failover_reconciliation", scheduling.reconciliation())
                .addLeaderStep("machine_records", fleet.cloudProvisioner())
                .addLeaderStep("reserved_jobs", scheduling.reservedScheduler())
                .addLeaderStep("scavenger_preemption", scheduling.scavengerScheduler())
                .addStep("best_effort_jobs", scheduling.bestEffortQueue())
                .addStep("completions", completionBuffer)
                .addLeaderStep("autoscaling", fleet.autoscaler());
    }

    /**
     * Starts to read the state store, to join the cluster as a member, and to run the periodic tasks.
     *
     * @param openPublicAddress opens the public address; is run once, while this controller holds a valid lease, see
     *     {@link PublicAddressOpener}. Until then the public address accepts no connections, since the heartbeats of
     *     many agents could prevent a controller on a small machine from joining.
     */
    public void start(Runnable openPublicAddress) {
        publicAddressOpener.setOpenAction(openPublicAddress);
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
     * Returns whether health checks succeed now. During an outage of the state store that affects all controllers,
     * health checks succeed if this controller held a valid lease before the outage; users then get status 503 and
     * retry their requests here. Health checks fail until the machine types are known.
     */
    private boolean isHealthy() {
        boolean canServe = replicatedState.holdsValidLease()
                || (hasHeldValidLease && messaging.peerExchange().isStoreOutageReportedByAllPeers());
        return canServe && !placement.machineTypes().isEmpty();
    }

    private boolean isRecordedLeader() {
        return schedulingCycle.isRecordedLeader();
    }

    private void tick() {
        boolean leader = isRecordedLeader() && replicatedState.holdsValidLease();
        ErrorIsolation.run("cloud", () -> fleet.cloudProvisioner().reconcile(leader));
        ErrorIsolation.run("agent_eviction", () -> agents.reconciler().evictStaleAgents(loop.now()));
        ErrorIsolation.run("backoff_eviction", () -> scheduling.backoff().retainJobsOf(clusterState));
        cycleThrottle.requestCycle();
    }

    /**
     * Runs one scheduling cycle. An unforeseen exception costs the step that throws it, for the same state may cause it
     * again in every cycle.
     */
    private void runCycle() {
        Instant startedAt = loop.now();
        ErrorIsolation.run("pending_user_requests", requests.userApi()::completePending);
        agents.reconciler().onLeaseStatus(replicatedState.holdsValidLease(), startedAt);
        if (!replicatedState.holdsValidLease()) {
            if (hasHeldValidLease) {
                ErrorIsolation.run("peer_poll", () -> messaging.peerExchange().pollPeersIfDue(startedAt));
                enforceCancellations(startedAt);
            }
            return;
        }
        ErrorIsolation.run("valid_lease", () -> onCycleWithValidLease(startedAt));
        sendDueMessages(startedAt);
        if (replicatedState.canCommit()) {
            ErrorIsolation.run("transaction", () -> schedulingCycle.run(startedAt));
        }
        Duration elapsed = Duration.between(startedAt, loop.now());
        cycleThrottle.startPause(elapsed);
        monitoring.metrics().cycleFinished(elapsed);
    }

    /** Called in every cycle with a valid lease, so the called methods must tolerate repeated calls. */
    private void onCycleWithValidLease(Instant now) {
        leadershipLog.observe(clusterState);
        hasHeldValidLease = true;
        requests.heartbeatHandler().onValidLease();
        agents.leaseRenewal().reset();
        agents.cancellationEnforcer().onLeaseRegained(replicatedState.knownThrough());
        publicAddressOpener.openIfReady(now);
    }

    private void sendDueMessages(Instant now) {
        ErrorIsolation.run("commands", () -> sendDueCommands(now));
        ErrorIsolation.run("peer_completions", this::sendCompletions);
    }

    private void sendDueCommands(Instant now) {
        for (CommandBatch batch : agents.reconciler().commandsDue(now)) {
            ErrorIsolation.run("command_batch", () -> messaging.commandSender().send(batch));
        }
    }

    private void sendCompletions() {
        PeerExchange peerExchange = messaging.peerExchange();
        agents.reconciler()
                .drainCompletions()
                .forEach((peer, completions) -> ErrorIsolation.run(
                        "completions_to_peer", () -> peerExchange.sendCompletions(peer, completions)));
    }

    /**
     * Sends stops for the tasks of cancelled jobs, and releases machines that have not confirmed the stops in time.
     * Called while this controller holds no valid lease: stopping tasks is safe without the state store, and the
     * cancellation limit (how long a cancelled job may still have tasks) also applies during an outage of the state
     * store.
     */
    private void enforceCancellations(Instant now) {
        ErrorIsolation.run("cancellation_stops", () -> messaging.commandSender().sendCancellationStops(now));
        ErrorIsolation.run("cancellation_releases", this::releaseMachinesWithOverdueCancellations);
    }

    private void releaseMachinesWithOverdueCancellations() {
        Instant wallClockTime = environment.wallClockTime().instant();
        fleet.cloudProvisioner()
                .releaseWithoutRecord(agents.cancellationEnforcer().machinesToRelease(wallClockTime));
    }

    private void sendOffers(BestEffortQueue.OutgoingOffers offers) {
        monitoring.metrics().offerBatchSent();
        messaging.peerExchange().sendOffers(offers);
    }

    private void logMetrics() {
        monitoring.metrics().log(ClusterSummary.of(clusterState, role()), replicatedState.commitInFlightTime());
    }

    private ClusterSummary.Role role() {
        if (!replicatedState.holdsValidLease()) {
            return ClusterSummary.Role.NO_VALID_LEASE;
        }
        return isRecordedLeader() ? ClusterSummary.Role.LEADER : ClusterSummary.Role.MEMBER;
    }
}
