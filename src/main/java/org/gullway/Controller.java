package org.gullway;

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
import org.gullway.bookkeeping.Ledger;
import org.gullway.bookkeeping.StateStore;
import org.gullway.coordination.BestEffortQueue;
import org.gullway.coordination.CancellationWatermark;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.DeadlinePolicy;
import org.gullway.coordination.EndedAttempts;
import org.gullway.coordination.FleetAutoscaler;
import org.gullway.coordination.IdleWork;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.JobBackoff;
import org.gullway.coordination.Keys;
import org.gullway.coordination.LeaseRenewalPolicy;
import org.gullway.coordination.MachineControl;
import org.gullway.coordination.Membership;
import org.gullway.coordination.PeerZones;
import org.gullway.coordination.PlacementConstraints;
import org.gullway.coordination.QuotaAllotments;
import org.gullway.coordination.Reconciliation;
import org.gullway.coordination.ReservedBooking;
import org.gullway.coordination.StartAuthorization;
import org.gullway.coordination.Transaction;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.requests.UserApi;
import org.gullway.transport.Call;
import org.gullway.transport.Client;
import org.gullway.transport.EventLoop;

/**
 * One controller. Whatever happens (a report, a request, a change in the store, the passing of time) asks for a round;
 * a round compares what is wanted with what is, sends the commands that are due, and commits the changes that are due.
 */
final class Controller {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration LONGEST_WATCH = Duration.ofSeconds(1);
    private static final Duration WAIT_FOR_OTHERS = Duration.ofMillis(2500);

    private final EventLoop loop;
    private final InstantSource timeOfDay;
    private final ClusterView view = new ClusterView();
    private final Incarnation self;
    private final Ledger ledger;
    private final PlacementConstraints placing;
    private final JobBackoff pauses = new JobBackoff();
    private final EndedAttempts ended;
    private final MachineControl machines;
    private final CancelledTasks cancelled;
    private final CancellationWatermark horizon;
    private final LeaseRenewalPolicy leases;
    private final QuotaAllotments shares;
    private final ReservedBooking booking;
    private final IdleWork idle;
    private final BestEffortQueue queue;
    private final Reconciliation repair;
    private final FleetAutoscaler fleet;
    private final CloudProvisioner cloud;
    private final UserApi users;
    private final RequestRouter requests;
    private final PeerExchange peers;
    private final CommandSender commands;
    private final ReportHandler reports;
    private final Metrics metrics = new Metrics();
    private final InvariantMonitor invariants = new InvariantMonitor(metrics);
    private final LeadershipLog leadership = new LeadershipLog();
    private final RoundPacer pacer;
    private final DecisionRound decisions;
    private final Duration logInterval;
    private Runnable open;
    private Instant readySince;
    private boolean wasEntitled;

    /**
     * @param timeOfDay the wall clock, which wanders within the bound that the platform states
     * @param seed of everything that is decided by chance; no two processes may share it
     */
    Controller(
            Settings settings,
            OperatorSettings operator,
            EventLoop loop,
            Client http,
            InstantSource timeOfDay,
            long seed) {
        this.loop = loop;
        this.timeOfDay = timeOfDay;
        this.pacer = new RoundPacer(loop, this::round);
        SplittableRandom random = new SplittableRandom(seed);
        this.self = new Incarnation(
                settings.nodeName(), (timeOfDay.millis() << 12 | random.nextInt(1 << 12)) & Long.MAX_VALUE);
        this.ledger = newLedger(settings, http, new Membership(self, operator.membershipLease()));
        this.placing = new PlacementConstraints(settings.teams());
        Duration report = settings.reportInterval();
        this.ended = new EndedAttempts(view);
        this.cancelled = new CancelledTasks(view, settings.cancelLimit());
        Map<String, String> zones = new HashMap<>();
        settings.peers().forEach(peer -> zones.put(peer.name(), peer.zone()));
        this.machines =
                new MachineControl(view, self, report, new PeerZones(zones, settings.cancelLimit()), ended, cancelled);
        this.leases = new LeaseRenewalPolicy(view, self, cancelled, settings.cancelLimit(), settings.workerLease());
        this.horizon = new CancellationWatermark(view, zones.keySet());
        DeadlinePolicy urgency = new DeadlinePolicy(settings.objectives());
        this.idle = new IdleWork(view, placing, pauses, urgency, operator.spareShare());
        this.booking = new ReservedBooking(view, placing, pauses, urgency);
        this.queue = new BestEffortQueue(view, placing, pauses, urgency, idle, self.node(), report, random.split());
        this.repair = new Reconciliation(view, placing, self.node(), random.split());
        this.shares = new QuotaAllotments(view, placing, self.node(), allNodes(settings));
        this.fleet = new FleetAutoscaler(view, placing, fleetPolicy(operator));
        this.cloud = newCloudProvisioner(settings, http);
        this.users = newUserApi(settings, random.split());
        this.commands = new CommandSender(
                loop,
                http,
                machines,
                cancelled,
                new StartAuthorization(view, self),
                ledger::entitled,
                invariants,
                metrics,
                this::schedule);
        this.peers = new PeerExchange(
                loop,
                http,
                self,
                settings.peers(),
                queue,
                machines,
                cancelled,
                horizon,
                leases,
                ledger::knownUntil,
                this::schedule);
        this.reports = new ReportHandler(loop, view, ledger, machines, cancelled, horizon, leases, this::schedule);
        this.requests = new RequestRouter(loop, leases, this::healthy, new ReportIntake(loop, reports::answer), users);
        Transaction.Limits limits =
                new Transaction.Limits(settings.stateChangesPerCommit(), settings.stateValueBytes());
        this.decisions = new DecisionRound(loop, timeOfDay, view, self, ledger, limits, ended, users, metrics);
        this.logInterval = operator.logInterval();
        addSteps();
    }

    private CloudProvisioner newCloudProvisioner(Settings settings, Client http) {
        return new CloudProvisioner(
                loop,
                http,
                settings.cloudAddress(),
                settings.cloudRequestsPerSecond(),
                view,
                placing,
                fleet,
                self,
                timeOfDay,
                this::schedule);
    }

    private UserApi newUserApi(Settings settings, RandomGenerator random) {
        return new UserApi(
                loop,
                view,
                ledger,
                placing,
                random,
                metrics,
                4 * settings.stateChangesPerCommit(),
                cancelled,
                invariants::violated,
                this::schedule);
    }

    private Ledger newLedger(Settings settings, Client http, Membership membership) {
        return new Ledger(
                loop,
                new StateStore(http, settings.stateAddress()),
                view,
                membership,
                pace(settings),
                watchWait(settings),
                this::schedule);
    }

    private static Ledger.Pace pace(Settings settings) {
        return new Ledger.Pace(
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

    private static FleetAutoscaler.Policy fleetPolicy(OperatorSettings operator) {
        return new FleetAutoscaler.Policy(operator.spareShare(), operator.idleReturn(), operator.bootPatience());
    }

    /** Short beside the time for which leases are renewed by what a watch has brought. */
    private static Duration watchWait(Settings settings) {
        Duration part = settings.cancelLimit().minus(settings.workerLease()).dividedBy(8);
        return part.compareTo(LONGEST_WATCH) > 0 ? LONGEST_WATCH : part.compareTo(TICK) < 0 ? TICK : part;
    }

    private void addSteps() {
        decisions
                .step("requests", draft -> users.propose(draft, draft.timeOfDay()))
                .step("machines", draft -> machines.propose(draft, loop.now()))
                .step("finished jobs", ended::finish)
                .step("shares", draft -> shares.propose(draft, leads(), ledger.plenty(), loop.now()))
                .step("repair", draft -> repair.propose(draft, leads(), loop.now()))
                .leaderStep("arrivals", draft -> cloud.propose(draft, draft.timeOfDay()))
                .leaderStep("booking", draft -> booking.propose(draft, loop.now()))
                .leaderStep("idle work", draft -> idle.propose(draft, loop.now()))
                .step("queue", draft -> queue.propose(draft, () -> machines.ready(loop.now()), loop.now())
                        .forEach(this::send))
                .step("ends", draft -> ended.propose(draft, ledger.plenty(), loop.now()))
                .leaderStep("fleet", draft -> fleet.propose(draft, loop.now()));
    }

    /**
     * Begins to read the store, to join, and to tick.
     *
     * @param open is run once, when this controller is first entitled to act: until then its public address takes no
     *     connections, since a thousand workers that ask every second would keep a small machine from joining
     */
    void start(Runnable open) {
        this.open = open;
        ledger.start();
        loop.every(TICK, this::tick);
        loop.every(logInterval, this::logFigures);
    }

    /** From now on the listener is told of every assertion of this program that fails. */
    void onInvariantViolated(Consumer<String> listener) {
        invariants.listen(listener);
    }

    /** Answers a request that came to the public address. */
    void answer(Call call) {
        requests.answer(call);
    }

    /** Answers a request of another controller, which came to the address for peers. */
    void answerPeer(Call call) {
        peers.answer(call);
    }

    /** In an outage that all controllers share it stays healthy: users get 503 and repeat their requests here. */
    private boolean healthy() {
        boolean serves = ledger.entitled() || wasEntitled && peers.allWithoutState();
        return serves && !placing.types().isEmpty();
    }

    private void schedule() {
        pacer.schedule();
    }

    private void tick() {
        cloud.tick(leads() && ledger.entitled());
        machines.tidy(loop.now());
        pauses.keepOnly(view);
        schedule();
    }

    private boolean leads() {
        return decisions.leads();
    }

    private void round() {
        Instant began = loop.now();
        users.settle();
        machines.entitled(ledger.entitled(), began);
        if (!ledger.entitled()) {
            if (wasEntitled) {
                peers.askWithoutState(began);
                pressCancelled(began);
            }
            return;
        }
        leadership.observe(view.leader(), view.epoch(), view.mark(Keys.LEADER));
        wasEntitled = true;
        reports.entitled();
        leases.forget();
        cancelled.entitled(ledger.knownUntil());
        openWithOthers(began);
        machines.pushes(began).forEach(commands::send);
        machines.drainNotices().forEach(peers::sendEnds);
        if (ledger.ready()) {
            decisions.decide(began);
        }
        Duration took = Duration.between(began, loop.now());
        pacer.pauseAfter(took);
        metrics.round(took);
    }

    /**
     * Opens the doors together with the others when all have been started anew: the first to open alone got the reports
     * of all workers at once and lost its membership over them (senderos-altos-fleet restart, half as many machines again).
     */
    private void openWithOthers(Instant now) {
        if (open == null || placing.types().isEmpty()) {
            return;
        }
        if (readySince == null) {
            readySince = now;
        }
        if (view.members().keySet().containsAll(peers.nodes())
                || readySince.plus(WAIT_FOR_OTHERS).isBefore(now)) {
            open.run();
            open = null;
        }
    }

    /** Stopping is safe without the state service, and a cancelled job's limit does not wait for it. */
    private void pressCancelled(Instant now) {
        commands.sendStopsOfCancelled(now);
        cloud.giveBackWithoutRecord(cancelled.machinesToReturn(timeOfDay.instant()));
    }

    private void send(BestEffortQueue.Outgoing outgoing) {
        metrics.offered();
        peers.sendOffers(outgoing);
    }

    private void logFigures() {
        int waiting = view.jobs().stream().mapToInt(j -> j.waiting()).sum();
        long up = view.machines().stream().filter(m -> m.takesTasks()).count();
        metrics.log(String.format(
                "%s epoch=%d jobs=%d waiting=%d machines=%d/%d%s",
                ledger.entitled() ? leads() ? "leader" : "member" : "outside",
                view.epoch(),
                view.jobs().size(),
                waiting,
                up,
                view.machines().size(),
                view.closed().isEmpty() ? "" : " closed=" + view.closed().size()));
    }
}
