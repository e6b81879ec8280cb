package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.gullway.bookkeeping.Ledger;
import org.gullway.bookkeeping.StateStore;
import org.gullway.coordination.BestEffortQueue;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.Draft;
import org.gullway.coordination.FleetPlan;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.JobPauses;
import org.gullway.coordination.Keys;
import org.gullway.coordination.MachineControl;
import org.gullway.coordination.Membership;
import org.gullway.coordination.Placing;
import org.gullway.coordination.Repair;
import org.gullway.coordination.ReservedBooking;
import org.gullway.coordination.Urgency;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Command;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.Offer;
import org.gullway.protocol.OperatorSettings;
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
    private static final Duration OFFER_LIMIT = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final Client http;
    private final InstantSource timeOfDay;
    private final ClusterView view = new ClusterView();
    private final Incarnation self;
    private final Ledger ledger;
    private final Placing placing;
    private final JobPauses pauses = new JobPauses();
    private final MachineControl machines;
    private final ReservedBooking booking;
    private final BestEffortQueue queue;
    private final Repair repair;
    private final FleetPlan fleet;
    private final CloudLoop cloud;
    private final UserApi users;
    private final Metrics metrics = new Metrics();
    private final Map<String, String> meshAddresses = new HashMap<>();
    private final Draft.Limits limits;
    private final Duration logInterval;
    private boolean scheduled;

    /**
     * @param timeOfDay the wall clock, which wanders within the bound that the platform states
     * @param seed of everything that is decided by chance; no two processes may share it
     */
    Controller(Settings settings, OperatorSettings operator, EventLoop loop, Client http, InstantSource timeOfDay,
               long seed) {
        this.loop = loop;
        this.http = http;
        this.timeOfDay = timeOfDay;
        SplittableRandom random = new SplittableRandom(seed);
        this.self = new Incarnation(settings.nodeName(),
                (timeOfDay.millis() << 12 | random.nextInt(1 << 12)) & Long.MAX_VALUE);
        Membership membership = new Membership(self, operator.membershipLease());
        this.ledger = new Ledger(loop, new StateStore(http, settings.stateAddress()), view, membership,
                settings.stateChangesPerSecond(), this::schedule);
        this.placing = new Placing(settings.teams());
        Duration report = settings.reportInterval();
        this.machines = new MachineControl(view, self, report);
        Urgency urgency = new Urgency(settings.objectives());
        this.booking = new ReservedBooking(view, placing, pauses, urgency);
        this.queue = new BestEffortQueue(view, placing, pauses, urgency, self.node(), report, random.split());
        this.repair = new Repair(view, self.node(), report.multipliedBy(5), random.split());
        this.fleet = new FleetPlan(view, placing,
                new FleetPlan.Policy(operator.spareShare(), operator.idleReturn(), operator.bootPatience()));
        this.cloud = new CloudLoop(loop, http, settings.cloudAddress(), settings.cloudRequestsPerSecond(), view, placing,
                fleet, self, timeOfDay, this::schedule);
        this.users = new UserApi(loop, view, ledger, placing, random.split(), metrics, this::schedule);
        this.limits = new Draft.Limits(settings.stateChangesPerCommit(), settings.stateValueBytes());
        settings.peers().forEach(peer -> meshAddresses.put(peer.name(), peer.address()));
        this.logInterval = operator.logInterval();
    }

    /** Begins to read the store, to join, and to tick. */
    void start() {
        ledger.start();
        loop.every(TICK, this::tick);
        loop.every(logInterval, this::logFigures);
    }

    // Requests

    void answer(Call call) {
        String path = call.path();
        String method = call.method();
        if (path.equals("/up")) {
            only("GET", call, () -> {
                if (ledger.entitled() && !placing.types().isEmpty()) {
                    call.answer(200, new byte[0]);
                } else {
                    call.refuse(503, Duration.ofSeconds(1));
                }
            });
        } else if (path.equals("/agent/beat")) {
            only("POST", call, () -> report(call));
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
        WorkerReport report;
        try {
            if (call.body() == null) {
                throw new MalformedException("the body is larger than allowed");
            }
            report = WorkerReport.parse(Cbor.decode(call.body()));
        } catch (MalformedException e) {
            LOG.info("a report cannot be read: {}", e.getMessage());
            call.answer(400, new byte[0]);
            return;
        }
        if (!ledger.entitled()) {
            call.refuse(503, Duration.ofSeconds(1));
            return;
        }
        MachineControl.Answer answer = machines.report(report, loop.now());
        if (answer instanceof MachineControl.Answer.Commands commands) {
            call.answer(200, Command.response(commands.token(), commands.commands()));
            schedule();
        } else if (answer instanceof MachineControl.Answer.Elsewhere elsewhere) {
            call.answer(421, Command.redirect(elsewhere.controller()));
        } else {
            call.refuse(503, Duration.ofSeconds(1));
        }
    }

    void answerPeer(Call call) {
        if (!call.path().equals("/offer") || call.body() == null) {
            call.answer(404, new byte[0]);
            return;
        }
        try {
            queue.offered(Offer.decode(call.body()), loop.now());
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
            loop.execute(() -> {
                scheduled = false;
                round();
            });
        }
    }

    private void tick() {
        cloud.tick(leading() && ledger.entitled());
        machines.tidy(loop.now());
        pauses.keepOnly(view);
        queue.keepOnly(view);
        round();
    }

    private boolean leading() {
        return self.equals(view.leader());
    }

    private void round() {
        Instant began = loop.now();
        users.settle();
        machines.entitled(ledger.entitled(), began);
        if (!ledger.entitled()) {
            repair.interrupted();
            return;
        }
        machines.pushes(began).forEach(this::send);
        if (ledger.ready()) {
            decide(began);
        }
        metrics.round(Duration.between(began, loop.now()));
    }

    private void decide(Instant now) {
        Instant today = timeOfDay.instant();
        Draft draft = new Draft(view, self, limits, today);
        boolean leading = leading();
        if (view.leader() == null) {
            draft.put(Keys.LEADER, self);
        }
        step("requests", () -> users.propose(draft, today));
        step("machines", () -> machines.propose(draft, now, today));
        step("repair", () -> repair.propose(draft, leading, now));
        if (leading) {
            step("arrivals", () -> cloud.propose(draft, today));
            step("booking", () -> booking.propose(draft, now));
            step("fleet", () -> fleet.propose(draft, now, today));
        }
        step("queue", () -> queue.propose(draft, machines.ready(now), now).forEach(this::send));
        if (draft.isEmpty()) {
            return;
        }
        ledger.commit(draft, result -> {
            metrics.committed(result.committed(), Duration.between(now, loop.now()));
            if (result.committed()) {
                users.committed(draft);
            } else {
                users.refused(result.failed());
            }
        });
    }

    /** One step that fails must not keep the others from their work, round after round. */
    private static void step(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("the step {} of a round failed", name, e);
        }
    }

    private void send(MachineControl.Push push) {
        metrics.pushed();
        byte[] body = Command.direct(push.token(), push.session(), push.commands());
        http.call(push.address(), Reply.Request.post("/do", body, COMMAND_LIMIT), reply -> {
            boolean answered = reply.kind() == Reply.Kind.ANSWERED && (reply.status() == 200 || reply.status() == 409);
            machines.pushEnded(push, !answered && reply.kind() != Reply.Kind.NOT_SENT, !answered, loop.now());
            if (answered) {
                try {
                    machines.answered(WorkerReport.parse(Cbor.decode(reply.body())), loop.now());
                } catch (MalformedException e) {
                    LOG.info("the answer of {} cannot be read: {}", push.machine(), e.getMessage());
                }
            }
            schedule();
        });
    }

    private void send(BestEffortQueue.Outgoing outgoing) {
        String address = meshAddresses.get(outgoing.peer());
        if (address != null) {
            metrics.offered();
            http.call(address, Reply.Request.post("/offer", outgoing.offer().encode(), OFFER_LIMIT), reply -> { });
        }
    }

    private void logFigures() {
        int waiting = view.jobs().stream().mapToInt(j -> j.waiting()).sum();
        long up = view.machines().stream().filter(m -> m.takesTasks()).count();
        metrics.log(String.format("%s epoch=%d jobs=%d waiting=%d machines=%d/%d%s",
                ledger.entitled() ? leading() ? "leader" : "member" : "outside", view.epoch(), view.jobs().size(),
                waiting, up, view.machines().size(), view.closed().isEmpty() ? "" : " closed=" + view.closed().size()));
    }
}
