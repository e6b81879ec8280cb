package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gullway.bookkeeping.Ledger;
import org.gullway.bookkeeping.StateStore;
import org.gullway.coordination.BestEffortQueue;
import org.gullway.coordination.CancellationHorizon;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.DecisionSteps;
import org.gullway.coordination.Draft;
import org.gullway.coordination.EndedAttempts;
import org.gullway.coordination.FleetPlan;
import org.gullway.coordination.IdleWork;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.JobPauses;
import org.gullway.coordination.Keys;
import org.gullway.coordination.LeaseKeeper;
import org.gullway.coordination.MachineControl;
import org.gullway.coordination.Membership;
import org.gullway.coordination.Neighbours;
import org.gullway.coordination.Placing;
import org.gullway.coordination.Repair;
import org.gullway.coordination.ReservedBooking;
import org.gullway.coordination.Shares;
import org.gullway.coordination.Urgency;
import org.gullway.protocol.Cancellations;
import org.gullway.protocol.Command;
import org.gullway.protocol.EndNotice;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.Offer;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.ReportResponses;
import org.gullway.protocol.Settings;
import org.gullway.protocol.WorkerReport;
import org.gullway.transport.Call;
import org.gullway.transport.Client;
import org.gullway.transport.EventLoop;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller. Whatever happens (a report, a request, a change in the store, the passing of time) asks for a round;
 * a round compares what is wanted with what is, sends the commands that are due, and commits the changes that are due.
 */
final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration COMMAND_LIMIT = Duration.ofSeconds(4);
    private static final Duration MESH_LIMIT = Duration.ofSeconds(2);
    /** Rounds gather what comes in between; a long one leaves twice its time for everything else. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(10);

    private static final Duration LONGEST_PAUSE = Duration.ofMillis(300);
    private static final Duration ROUND_BUDGET = Duration.ofMillis(150);
    private static final Duration ASK_PEERS_EVERY = Duration.ofSeconds(1);
    private static final Duration LONGEST_WATCH = Duration.ofSeconds(1);
    private static final Duration WAIT_FOR_OTHERS = Duration.ofMillis(2500);

    private final EventLoop loop;
    private final Client http;
    private final InstantSource timeOfDay;
    private final ClusterView view = new ClusterView();
    private final Incarnation self;
    private final Ledger ledger;
    private final Placing placing;
    private final JobPauses pauses = new JobPauses();
    private final EndedAttempts ended;
    private final MachineControl machines;
    private final CancelledTasks cancelled;
    private final CancellationHorizon horizon;
    private final LeaseKeeper leases;
    private final Shares shares;
    private final ReservedBooking booking;
    private final IdleWork idle;
    private final BestEffortQueue queue;
    private final Repair repair;
    private final FleetPlan fleet;
    private final CloudLoop cloud;
    private final UserApi users;
    private final ReportIntake reports;
    private final ReportResponses responses = new ReportResponses();
    private final Metrics metrics = new Metrics();
    private final Map<String, String> meshAddresses = new HashMap<>();
    private final Draft.Limits limits;
    private final Duration logInterval;
    private final DecisionSteps steps = new DecisionSteps(ROUND_BUDGET);
    /** The commit that the present round makes. */
    private Draft draft;

    private Runnable open;
    private Instant readySince;
    private boolean scheduled;
    private boolean wasEntitled;
    private Instant askedPeersAt = Instant.MIN;
    private Instant notBefore = Instant.MIN;

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
        this.http = http;
        this.timeOfDay = timeOfDay;
        SplittableRandom random = new SplittableRandom(seed);
        this.self = new Incarnation(
                settings.nodeName(), (timeOfDay.millis() << 12 | random.nextInt(1 << 12)) & Long.MAX_VALUE);
        Membership membership = new Membership(self, operator.membershipLease());
        this.ledger = new Ledger(
                loop,
                new StateStore(http, settings.stateAddress()),
                view,
                membership,
                pace(settings),
                watchWait(settings),
                this::schedule);
        this.placing = new Placing(settings.teams());
        Duration report = settings.reportInterval();
        this.ended = new EndedAttempts(view);
        this.cancelled = new CancelledTasks(view, settings.cancelLimit());
        Map<String, String> zones = new HashMap<>();
        settings.peers().forEach(peer -> zones.put(peer.name(), peer.zone()));
        this.machines =
                new MachineControl(view, self, report, new Neighbours(zones, settings.cancelLimit()), ended, cancelled);
        this.leases = new LeaseKeeper(view, self, cancelled, settings.cancelLimit(), settings.workerLease());
        this.horizon = new CancellationHorizon(view, zones.keySet());
        Urgency urgency = new Urgency(settings.objectives());
        this.idle = new IdleWork(view, placing, pauses, urgency, operator.spareShare());
        this.booking = new ReservedBooking(view, placing, pauses, urgency);
        this.queue = new BestEffortQueue(view, placing, pauses, urgency, idle, self.node(), report, random.split());
        this.repair = new Repair(view, placing, self.node(), random.split());
        this.shares = new Shares(view, placing, self.node(), allNodes(settings));
        this.fleet = new FleetPlan(view, placing, fleetPolicy(operator));
        this.cloud = new CloudLoop(
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
        this.users = new UserApi(
                loop,
                view,
                ledger,
                placing,
                random.split(),
                metrics,
                4 * settings.stateChangesPerCommit(),
                cancelled,
                this::schedule);
        this.reports = new ReportIntake(loop, this::report);
        this.limits = new Draft.Limits(settings.stateChangesPerCommit(), settings.stateValueBytes());
        settings.peers().forEach(peer -> meshAddresses.put(peer.name(), peer.address()));
        this.logInterval = operator.logInterval();
        addSteps();
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

    private static FleetPlan.Policy fleetPolicy(OperatorSettings operator) {
        return new FleetPlan.Policy(operator.spareShare(), operator.idleReturn(), operator.bootPatience());
    }

    /** Short beside the time for which leases are renewed by what a watch has brought. */
    private static Duration watchWait(Settings settings) {
        Duration part = settings.cancelLimit().minus(settings.workerLease()).dividedBy(8);
        return part.compareTo(LONGEST_WATCH) > 0 ? LONGEST_WATCH : part.compareTo(TICK) < 0 ? TICK : part;
    }

    private void addSteps() {
        steps.add("requests", () -> users.propose(draft, draft.timeOfDay()))
                .add("machines", () -> machines.propose(draft, loop.now()))
                .add("finished jobs", () -> ended.finish(draft))
                .add("shares", () -> shares.propose(draft, leads(), ledger.plenty(), loop.now()))
                .add("repair", () -> repair.propose(draft, leads(), loop.now()))
                .add("arrivals", () -> ifLeading(() -> cloud.propose(draft, draft.timeOfDay())))
                .add("booking", () -> ifLeading(() -> booking.propose(draft, loop.now())))
                .add("idle work", () -> ifLeading(() -> idle.propose(draft, loop.now())))
                .add("queue", () -> queue.propose(draft, () -> machines.ready(loop.now()), loop.now())
                        .forEach(this::send))
                .add("ends", () -> ended.propose(draft, ledger.plenty(), loop.now()))
                .add("fleet", () -> ifLeading(() -> fleet.propose(draft, loop.now(), draft.timeOfDay())));
    }

    private void ifLeading(Runnable action) {
        if (leads()) {
            action.run();
        }
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

    // Requests

    void answer(Call call) {
        String path = call.path();
        if (!path.equals("/agent/beat")) {
            leases.outsideHeard(loop.now());
        }
        if (path.equals("/up")) {
            only("GET", call, () -> {
                if (ledger.entitled() && !placing.types().isEmpty()) {
                    call.answer(200, new byte[0]);
                } else {
                    call.refuse(503, Duration.ofSeconds(1));
                }
            });
        } else if (path.equals("/agent/beat")) {
            only("POST", call, () -> reports.take(call));
        } else if (path.equals("/v2/runs")) {
            only("POST", call, () -> users.submit(call));
        } else if (path.startsWith("/v2/runs/")) {
            String rest = path.substring("/v2/runs/".length());
            if (rest.endsWith("/withdraw")) {
                only("POST", call, () -> users.cancel(rest.substring(0, rest.length() - "/withdraw".length()), call));
            } else {
                only("GET", call, () -> users.poll(rest, call));
            }
        } else {
            call.answer(404, new byte[0]);
        }
    }

    private static void only(String method, Call call, Runnable action) {
        if (call.method().equals(method)) {
            action.run();
        } else {
            call.answer(405, new byte[0]);
        }
    }

    private void report(Call call) {
        boolean entitled = ledger.entitled();
        if (!leases.mayRenew(horizon.until(ledger.knownUntil()), loop.now()) || !entitled && !wasEntitled) {
            // Before the body is read: after a restart all workers ask again every second, and reading comes first.
            call.refuse(503, Duration.ofSeconds(1));
            return;
        }
        WorkerReport report;
        try {
            if (call.body() == null) {
                throw new MalformedException("the body is larger than allowed");
            }
            report = WorkerReport.parse(call.body(), machines::lastMessage);
        } catch (MalformedException e) {
            LOG.info("a report cannot be read: {}", e.getMessage());
            call.answer(400, new byte[0]);
            return;
        }
        if (!entitled) {
            if (leases.keeps(report, loop.now())) {
                call.answer(200, responses.encode(view.epoch(), cancelled.stops(report)));
            } else {
                call.refuse(503, Duration.ofSeconds(1));
            }
            return;
        }
        MachineControl.Answer answer = machines.report(report, loop.now());
        if (answer instanceof MachineControl.Answer.Commands commands) {
            call.answer(200, responses.encode(commands.token(), commands.commands()));
            if (commands.changed()) {
                schedule();
            }
        } else if (answer instanceof MachineControl.Answer.Elsewhere elsewhere) {
            call.answer(421, Command.redirect(elsewhere.controller()));
        } else {
            call.refuse(503, Duration.ofSeconds(1));
        }
    }

    void answerPeer(Call call) {
        leases.outsideHeard(loop.now());
        try {
            if (call.body() == null) {
                throw new MalformedException("the body is larger than allowed");
            }
            switch (call.path()) {
                case "/offers" -> queue.offered(Offer.decode(call.body()), loop.now());
                case "/cancelled" -> {
                    Set<String> known = Cancellations.decodeKnown(call.body());
                    call.answer(
                            200,
                            Cancellations.encode(
                                    self.node(),
                                    self.number(),
                                    cancelled.known().stream()
                                            .filter(job -> !known.contains(job.id()))
                                            .toList()));
                    return;
                }
                case "/ends" -> machines.noticed(EndNotice.decode(call.body()), loop.now());
                default -> {
                    call.answer(404, new byte[0]);
                    return;
                }
            }
            call.answer(200, new byte[0]);
            schedule();
        } catch (MalformedException e) {
            call.answer(400, new byte[0]);
        }
    }

    // Rounds

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            Runnable task = () -> {
                scheduled = false;
                round();
            };
            Duration wait = Duration.between(loop.now(), notBefore);
            if (notBefore.equals(Instant.MIN) || wait.isNegative() || wait.isZero()) {
                loop.execute(task);
            } else {
                loop.after(wait, task);
            }
        }
    }

    private void tick() {
        cloud.tick(leads() && ledger.entitled());
        machines.tidy(loop.now());
        pauses.keepOnly(view);
        schedule();
    }

    private boolean leads() {
        return self.equals(view.leader());
    }

    private void round() {
        Instant began = loop.now();
        users.settle();
        machines.entitled(ledger.entitled(), began);
        if (!ledger.entitled()) {
            if (wasEntitled) {
                askPeers(began);
                pressCancelled(began);
            }
            return;
        }
        wasEntitled = true;
        leases.forget();
        cancelled.entitled(ledger.knownUntil());
        openWithOthers(began);
        machines.pushes(began).forEach(this::send);
        machines.drainNotices().forEach(this::send);
        if (ledger.ready()) {
            decide(began);
        }
        Duration took = Duration.between(began, loop.now());
        Duration pause = took.multipliedBy(2);
        notBefore = loop.now()
                .plus(
                        pause.compareTo(LEAST_PAUSE) < 0
                                ? LEAST_PAUSE
                                : pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause);
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
        if (view.members().keySet().containsAll(meshAddresses.keySet())
                || readySince.plus(WAIT_FOR_OTHERS).isBefore(now)) {
            open.run();
            open = null;
        }
    }

    private void decide(Instant now) {
        ledger.share(leads());
        Draft made = new Draft(view, self, limits.atMost(ledger.changesLeft()), timeOfDay.instant());
        draft = made;
        if (view.leader() == null) {
            made.put(Keys.LEADER, self);
        } else if (leads()) {
            // A former leader whose membership lapsed may be a member again before it hears of its successor.
            made.rely(Keys.LEADER);
        }
        ended.credit(made);
        steps.run(loop::now);
        ended.join(made);
        if (made.isEmpty()) {
            return;
        }
        ledger.commit(made, result -> {
            metrics.committed(result.committed(), made.changes().keySet(), Duration.between(now, loop.now()));
            if (result.committed()) {
                users.committed(made);
            } else {
                users.refused(result.failed());
            }
        });
    }

    /** Without the state service the peers are asked for the cancellations that they know. */
    private void askPeers(Instant now) {
        if (askedPeersAt.plus(ASK_PEERS_EVERY).isAfter(now)) {
            return;
        }
        askedPeersAt = now;
        byte[] known = Cancellations.encodeKnown(
                cancelled.known().stream().map(Cancellations.Job::id).toList());
        meshAddresses
                .values()
                .forEach(address -> http.call(address, Reply.Request.post("/cancelled", known, MESH_LIMIT), reply -> {
                    if (!reply.ok()) {
                        return;
                    }
                    leases.outsideHeard(loop.now());
                    try {
                        Cancellations told = Cancellations.decode(reply.body());
                        told.jobs().forEach(job -> cancelled.learn(job, loop.now()));
                        if (told.complete()) {
                            horizon.told(new Incarnation(told.node(), told.number()), now);
                        }
                    } catch (MalformedException e) {
                        LOG.info("what {} knows of cancellations cannot be read: {}", address, e.getMessage());
                    }
                }));
    }

    /** Stopping is safe without the state service, and a cancelled job's limit does not wait for it. */
    private void pressCancelled(Instant now) {
        cancelled
                .press(now)
                .forEach(push -> command(push, outcome -> cancelled.pressed(push, loop.now()), cancelled::answered));
        cloud.giveBackWithoutRecord(cancelled.machinesToReturn(timeOfDay.instant()));
    }

    private void send(MachineControl.Push push) {
        command(
                push,
                outcome -> machines.pushEnded(push, outcome, loop.now()),
                answer -> machines.answered(answer, loop.now()));
    }

    private void command(
            MachineControl.Push push, Consumer<MachineControl.Outcome> ended, Consumer<WorkerReport> answers) {
        metrics.pushed();
        byte[] body = Command.direct(push.token(), push.session(), push.commands());
        http.call(push.address(), Reply.Request.post("/do", body, COMMAND_LIMIT), reply -> {
            boolean answered = reply.kind() == Reply.Kind.ANSWERED && (reply.status() == 200 || reply.status() == 409);
            MachineControl.Outcome outcome = answered
                    ? MachineControl.Outcome.ANSWERED
                    : switch (reply.kind()) {
                        case NO_SOCKET -> MachineControl.Outcome.NOT_TRIED;
                        case NOT_SENT -> MachineControl.Outcome.NOT_SENT;
                        default -> MachineControl.Outcome.UNKNOWN;
                    };
            ended.accept(outcome);
            if (answered) {
                try {
                    answers.accept(WorkerReport.parse(reply.body(), machines::lastMessage));
                } catch (MalformedException e) {
                    LOG.info("the answer of {} cannot be read: {}", push.machine(), e.getMessage());
                }
            }
            schedule();
        });
    }

    private void send(BestEffortQueue.Outgoing outgoing) {
        metrics.offered();
        tellPeer(outgoing.peer(), "/offers", Offer.encode(outgoing.offers()));
    }

    private void send(String node, List<EndNotice> notices) {
        for (int i = 0; i < notices.size(); i += EndNotice.MOST_TOGETHER) {
            tellPeer(
                    node,
                    "/ends",
                    EndNotice.encode(notices.subList(i, Math.min(notices.size(), i + EndNotice.MOST_TOGETHER))));
        }
    }

    private void tellPeer(String node, String path, byte[] body) {
        String address = meshAddresses.get(node);
        if (address != null) {
            http.call(address, Reply.Request.post(path, body, MESH_LIMIT), reply -> {});
        }
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
