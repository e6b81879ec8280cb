package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.api.UserApi;
import org.gullway.cloud.CloudClient;
import org.gullway.cloud.CloudProvisioner;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.agents.StartAuthorization;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.failover.Reconciliation;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.PeerZones;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.JobFeasibility;
import org.gullway.coordination.quota.QuotaPartitioner;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.coordination.scaling.FleetAutoscaler;
import org.gullway.coordination.scaling.ScalingPolicy;
import org.gullway.coordination.scheduling.BestEffortQueue;
import org.gullway.coordination.scheduling.DeadlinePolicy;
import org.gullway.coordination.scheduling.JobBackoff;
import org.gullway.coordination.scheduling.ReservedScheduler;
import org.gullway.coordination.scheduling.ScavengerScheduler;
import org.gullway.observability.InvariantMonitor;
import org.gullway.observability.LeadershipLog;
import org.gullway.observability.Metrics;
import org.gullway.peer.PeerExchange;
import org.gullway.peer.PeerMessageTargets;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.storage.ReplicatedState;
import org.gullway.storage.StateStoreClient;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.worker.CommandSender;
import org.gullway.worker.HeartbeatAdmission;
import org.gullway.worker.HeartbeatHandler;

/**
 * One controller. Whatever happens (a report, a request, a change in the store, the passing of time) asks for a round;
 * a round compares what is wanted with what is, sends the commands that are due, and commits the changes that are due.
 */
public final class Controller {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration LONGEST_WATCH = Duration.ofSeconds(1);
    private static final Duration WAIT_FOR_OTHERS = Duration.ofMillis(2500);

    private final EventLoop loop;
    private final InstantSource timeOfDay;
    private final ClusterState clusterState = new ClusterState();
    private final Incarnation self;
    private final ReplicatedState replicatedState;
    private final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
    private final PlacementConstraints constraints = new PlacementConstraints(machineTypes);
    private final TeamQuotas quotas;
    private final JobBackoff backoff = new JobBackoff();
    private final CompletionBuffer completionBuffer;
    private final AgentReconciler agentReconciler;
    private final CancellationEnforcer cancellationEnforcer;
    private final CancellationWatermark cancellationWatermark;
    private final LeaseRenewalPolicy leaseRenewal;
    private final QuotaPartitioner quotaPartitioner;
    private final ReservedScheduler reservedScheduler;
    private final ScavengerScheduler scavengerScheduler;
    private final BestEffortQueue bestEffortQueue;
    private final Reconciliation reconciliation;
    private final FleetAutoscaler autoscaler;
    private final CloudProvisioner cloudProvisioner;
    private final UserApi userApi;
    private final RequestRouter requestRouter;
    private final PeerExchange peerExchange;
    private final CommandSender commandSender;
    private final HeartbeatHandler heartbeatHandler;
    private final Metrics metrics = new Metrics();
    private final InvariantMonitor invariants = new InvariantMonitor(metrics);
    private final LeadershipLog leadership = new LeadershipLog();
    private final CycleThrottle cycleThrottle;
    private final SchedulingCycle schedulingCycle;
    private final Duration logInterval;
    private Runnable openListener;
    private Instant readySince;
    private boolean heldLeaseBefore;

    /**
     * @param timeOfDay the wall clock, which wanders within the bound that the platform states
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
        this.timeOfDay = timeOfDay;
        this.cycleThrottle = new CycleThrottle(loop, this::runCycle);
        SplittableRandom random = new SplittableRandom(seed);
        this.self = new Incarnation(
                settings.nodeName(), (timeOfDay.millis() << 12 | random.nextInt(1 << 12)) & Long.MAX_VALUE);
        this.replicatedState =
                newReplicatedState(settings, httpClient, new Membership(self, operator.membershipLease()));
        this.quotas = new TeamQuotas(settings.teams());
        Duration report = settings.heartbeatInterval();
        this.completionBuffer = new CompletionBuffer(clusterState);
        this.cancellationEnforcer = new CancellationEnforcer(clusterState, settings.cancellationLimit());
        Map<String, String> zones = new HashMap<>();
        settings.peers().forEach(peer -> zones.put(peer.name(), peer.zone()));
        this.agentReconciler = new AgentReconciler(
                clusterState,
                self,
                report,
                new PeerZones(zones, settings.cancellationLimit()),
                completionBuffer,
                cancellationEnforcer);
        this.leaseRenewal = new LeaseRenewalPolicy(
                clusterState, self, cancellationEnforcer, settings.cancellationLimit(), settings.workerLease());
        this.cancellationWatermark = new CancellationWatermark(clusterState, zones.keySet());
        DeadlinePolicy deadlines = new DeadlinePolicy(settings.objectives());
        this.scavengerScheduler = new ScavengerScheduler(
                clusterState, constraints, quotas, backoff, deadlines, operator.spareCapacityShare());
        this.reservedScheduler = new ReservedScheduler(clusterState, constraints, quotas, backoff, deadlines);
        this.bestEffortQueue = new BestEffortQueue(
                clusterState,
                constraints,
                quotas,
                backoff,
                deadlines,
                scavengerScheduler,
                self.node(),
                report,
                random.split(),
                () -> agentReconciler.schedulableMachines(loop.now()),
                this::send);
        this.reconciliation = new Reconciliation(clusterState, quotas, self.node(), random.split());
        this.quotaPartitioner = new QuotaPartitioner(clusterState, quotas, self.node(), allNodes(settings));
        this.autoscaler = new FleetAutoscaler(clusterState, constraints, quotas, scalingPolicy(operator));
        this.cloudProvisioner = newCloudProvisioner(settings, httpClient);
        this.userApi = newUserApi(settings, random.split());
        this.commandSender = newCommandSender(httpClient);
        this.peerExchange = newPeerExchange(settings, httpClient);
        this.heartbeatHandler = newHeartbeatHandler();
        this.requestRouter = new RequestRouter(
                loop, leaseRenewal, this::isHealthy, new HeartbeatAdmission(loop, heartbeatHandler::handle), userApi);
        Transaction.Limits limits =
                new Transaction.Limits(settings.stateChangesPerCommit(), settings.stateValueBytes());
        this.schedulingCycle = newSchedulingCycle(limits);
        this.logInterval = operator.logInterval();
        addSteps();
    }

    private CommandSender newCommandSender(HttpClient httpClient) {
        return new CommandSender(
                loop,
                httpClient,
                agentReconciler,
                cancellationEnforcer,
                new StartAuthorization(clusterState, self),
                replicatedState::holdsValidLease,
                invariants,
                metrics,
                this::schedule);
    }

    private PeerExchange newPeerExchange(Settings settings, HttpClient httpClient) {
        return new PeerExchange(
                loop,
                httpClient,
                self,
                settings.peers(),
                new PeerMessageTargets(
                        bestEffortQueue, agentReconciler, cancellationEnforcer, cancellationWatermark, leaseRenewal),
                replicatedState::knownThrough,
                this::schedule);
    }

    private HeartbeatHandler newHeartbeatHandler() {
        return new HeartbeatHandler(
                loop,
                clusterState,
                replicatedState,
                agentReconciler,
                cancellationEnforcer,
                cancellationWatermark,
                leaseRenewal,
                this::schedule);
    }

    private SchedulingCycle newSchedulingCycle(Transaction.Limits limits) {
        return new SchedulingCycle(
                loop, timeOfDay, clusterState, self, replicatedState, limits, completionBuffer, userApi, metrics);
    }

    private CloudProvisioner newCloudProvisioner(Settings settings, HttpClient httpClient) {
        return new CloudProvisioner(
                loop,
                timeOfDay,
                new CloudClient(loop, httpClient, settings.cloudAddress(), settings.cloudRequestsPerSecond()),
                clusterState,
                machineTypes,
                autoscaler,
                self,
                this::schedule);
    }

    private UserApi newUserApi(Settings settings, RandomGenerator random) {
        return new UserApi(
                loop,
                clusterState,
                replicatedState,
                machineTypes,
                new JobFeasibility(machineTypes, quotas),
                random,
                metrics,
                4 * settings.stateChangesPerCommit(),
                cancellationEnforcer,
                invariants::onViolation,
                this::schedule);
    }

    private ReplicatedState newReplicatedState(Settings settings, HttpClient httpClient, Membership membership) {
        return new ReplicatedState(
                loop,
                new StateStoreClient(httpClient, settings.stateAddress()),
                clusterState,
                membership,
                rateLimits(settings),
                watchWait(settings),
                this::schedule);
    }

    private static ReplicatedState.StoreRateLimits rateLimits(Settings settings) {
        return new ReplicatedState.StoreRateLimits(
                settings.stateChangesPerSecond(),
                settings.stateRequestsPerSecond(),
                settings.peers().size() + 1);
    }

    private static List<String> allNodes(Settings settings) {
        List<String> nodes = new ArrayList<>(
                settings.peers().stream().map(Settings.Peer::name).toList());
        nodes.add(settings.nodeName());
        return nodes;
    }

    private static ScalingPolicy scalingPolicy(OperatorSettings operator) {
        return new ScalingPolicy(operator.spareCapacityShare(), operator.scaleInDelay(), operator.bootTimeoutFactor());
    }

    /** Short beside the time for which leases are renewed by what a watch has brought. */
    private static Duration watchWait(Settings settings) {
        Duration part =
                settings.cancellationLimit().minus(settings.workerLease()).dividedBy(8);
        return part.compareTo(LONGEST_WATCH) > 0 ? LONGEST_WATCH : part.compareTo(TICK) < 0 ? TICK : part;
    }

    private void addSteps() {
        schedulingCycle
                .addStep("user requests", userApi)
                .addStep("agents", agentReconciler)
                .addStep("finished jobs", (transaction, context) -> completionBuffer.planFinishedJobs(transaction))
                .addStep("quota", quotaPartitioner)
                .addStep("reconciliation", reconciliation)
                .addLeaderStep("provisioned machines", cloudProvisioner)
                .addLeaderStep("reserved", reservedScheduler)
                .addLeaderStep("scavenger", scavengerScheduler)
                .addStep("best effort", bestEffortQueue)
                .addStep("completions", completionBuffer)
                .addLeaderStep("scaling", autoscaler);
    }

    /**
     * Begins to read the store, to join, and to tick.
     *
     * @param open is run once, when this controller is first entitled to act: until then its public address takes no
     *     connections, since a thousand workers that ask every second would keep a small machine from joining
     */
    public void start(Runnable open) {
        this.openListener = open;
        replicatedState.start();
        loop.every(TICK, this::tick);
        loop.every(logInterval, this::logMetrics);
    }

    /** From now on the listener is told of every assertion of this program that fails. */
    public void onInvariantViolated(Consumer<String> listener) {
        invariants.addListener(listener);
    }

    /** Answers a request that came to the public address. */
    public void handle(HttpExchange exchange) {
        requestRouter.route(exchange);
    }

    /** Answers a request of another controller, which came to the address for peers. */
    public void handlePeer(HttpExchange exchange) {
        peerExchange.handle(exchange);
    }

    /** In an outage that all controllers share it stays healthy: users get 503 and repeat their requests here. */
    private boolean isHealthy() {
        boolean serves = replicatedState.holdsValidLease() || heldLeaseBefore && peerExchange.isStoreOutageShared();
        return serves && !machineTypes.isEmpty();
    }

    private void schedule() {
        cycleThrottle.schedule();
    }

    private void tick() {
        cloudProvisioner.reconcile(isLeader() && replicatedState.holdsValidLease());
        agentReconciler.evictStaleAgents(loop.now());
        backoff.retainJobsOf(clusterState);
        schedule();
    }

    private boolean isLeader() {
        return schedulingCycle.isLeader();
    }

    private void runCycle() {
        Instant began = loop.now();
        userApi.completePending();
        agentReconciler.onLeaseStatus(replicatedState.holdsValidLease(), began);
        if (!replicatedState.holdsValidLease()) {
            if (heldLeaseBefore) {
                peerExchange.pollPeersDuringOutage(began);
                enforceCancellations(began);
            }
            return;
        }
        leadership.observe(clusterState.leader(), clusterState.fencingToken(), clusterState.version(StoreKeys.LEADER));
        heldLeaseBefore = true;
        heartbeatHandler.onLeaseAcquired();
        leaseRenewal.reset();
        cancellationEnforcer.onLeaseRegained(replicatedState.knownThrough());
        openListenerWithPeers(began);
        agentReconciler.commandsDue(began).forEach(commandSender::send);
        agentReconciler.drainCompletions().forEach(peerExchange::sendCompletions);
        if (replicatedState.canCommit()) {
            schedulingCycle.run(began);
        }
        Duration took = Duration.between(began, loop.now());
        cycleThrottle.delayAfter(took);
        metrics.cycleFinished(took);
    }

    /**
     * Opens the doors together with the others when all have been started anew: the first to open alone got the reports
     * of all workers at once and lost its membership over them (senderos-altos-fleet restart, half as many machines again).
     */
    private void openListenerWithPeers(Instant now) {
        if (openListener == null || machineTypes.isEmpty()) {
            return;
        }
        if (readySince == null) {
            readySince = now;
        }
        if (clusterState.members().keySet().containsAll(peerExchange.nodes())
                || readySince.plus(WAIT_FOR_OTHERS).isBefore(now)) {
            openListener.run();
            openListener = null;
        }
    }

    /** Stopping is safe without the state service, and a cancelled job's limit does not wait for it. */
    private void enforceCancellations(Instant now) {
        commandSender.sendCancellationStops(now);
        cloudProvisioner.releaseWithoutRecord(cancellationEnforcer.machinesToTerminate(timeOfDay.instant()));
    }

    private void send(BestEffortQueue.OutgoingOffers outgoing) {
        metrics.offerSent();
        peerExchange.sendOffers(outgoing);
    }

    private void logMetrics() {
        int waiting =
                clusterState.jobs().stream().mapToInt(j -> j.waitingTasks()).sum();
        long up =
                clusterState.machines().stream().filter(m -> m.isSchedulable()).count();
        metrics.log(String.format(
                "%s epoch=%d jobs=%d waiting=%d machines=%d/%d%s",
                replicatedState.holdsValidLease() ? isLeader() ? "leader" : "member" : "outside",
                clusterState.fencingToken(),
                clusterState.jobs().size(),
                waiting,
                up,
                clusterState.machines().size(),
                clusterState.cordonedMachines().isEmpty()
                        ? ""
                        : " closed=" + clusterState.cordonedMachines().size()));
    }
}
