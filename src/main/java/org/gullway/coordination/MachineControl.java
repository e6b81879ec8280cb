package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.MachineRecord.Disposition;
import org.gullway.protocol.Command;
import org.gullway.protocol.EndNotice;
import org.gullway.protocol.TaskReport;
import org.gullway.protocol.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines that this controller commands. Recorded placements are what is wanted; the worker's newest message is
 * what is; the difference becomes commands. Ends seen here go to the keepers of the jobs.
 *
 * <p>Only workers of which something has changed, or is due, are looked at; an unchanged report costs no more than
 * its decoding.
 */
public final class MachineControl {
    private static final Logger LOG = LoggerFactory.getLogger(MachineControl.class);
    private static final Duration RETRY = Duration.ofMillis(500);
    /** Beyond the longest pause between two reports; a worker that hears nobody takes far longer to come by again. */
    private static final Duration RETURN_MARGIN = Duration.ofSeconds(1);

    /** What is kept for machines that are gone or commanded elsewhere does no harm meanwhile. */
    private static final Duration TIDY_EVERY = Duration.ofSeconds(2);

    private static final Duration NOTICE_MARGIN = Duration.ofSeconds(1);
    private static final Duration LOOK_AGAIN = Duration.ofMillis(50);
    /** Every worker reports once more when the epoch has risen, so starts without an answer are settled together. */
    private static final Duration RAISE_PAUSE = Duration.ofSeconds(1);
    /** Commands on their way beyond which workers are no longer asked for what they will report anyway. */
    private static final int MOST_QUESTIONS = 8;

    private final ClusterView view;
    private final Incarnation self;
    private final Duration reportInterval;
    private final CommandPlanner planner;
    private final EndReporter ends;
    private final CancelledTasks cancelled;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final LookTimes lookTimes = new LookTimes();
    /** Machines whose workers have, or had, trouble that may call for a change of the records. */
    private final Set<String> troubled = new LinkedHashSet<>();

    private final SilentMachines silent;
    /** Machines here whose session on record may be behind. */
    private final Set<String> newSessions = new HashSet<>();

    private final GroupTakeover takeover;

    private final FailingJobs failingJobs;

    private final CommandWindow window = new CommandWindow();
    /** Workers looked at so far. */
    private long looks;

    private Instant tidiedAt = Instant.MIN;
    private Instant raisedAt = Instant.MIN;

    public MachineControl(
            ClusterView view,
            Incarnation self,
            Duration reportInterval,
            PeerZones neighbours,
            EndedAttempts ended,
            CancelledTasks cancelled) {
        this.view = view;
        this.self = self;
        this.reportInterval = reportInterval;
        this.planner = new CommandPlanner(view);
        this.ends = new EndReporter(view, self, ended);
        this.cancelled = cancelled;
        this.failingJobs = new FailingJobs(view);
        this.takeover = new GroupTakeover(view, self, this::isStray);
        this.silent = new SilentMachines(view, self, reportInterval, neighbours, workers);
    }

    /** To be told in every round whether this controller is entitled to act, and so takes reports. */
    public void entitled(boolean entitled, Instant now) {
        silent.entitled(entitled, now);
    }

    private Worker worker(String machine, Instant now) {
        return workers.computeIfAbsent(machine, m -> new Worker(now, at -> lookTimes.add(m, at)));
    }

    private void noteTrouble(String machine, Worker worker) {
        if (worker.hasTrouble()) {
            troubled.add(machine);
        }
    }

    /** The newest message of the worker on this machine, or null if none is known. */
    public WorkerReport lastMessage(String machine) {
        Worker worker = workers.get(machine);
        return worker == null ? null : worker.newest();
    }

    /**
     * Takes a report, whose sender may be a worker of another controller or one that is not on record.
     *
     * @return the commands that the answer carries, or where the worker should report instead
     */
    public ReportAnswer report(WorkerReport report, Instant now) {
        if (report.token() > view.epoch()) {
            return new ReportAnswer.NotYet();
        }
        MachineRecord record = view.machine(report.machine());
        if (record == null) {
            // It comes on record by the cloud's answer or list, never by a report alone: that may be an old copy.
            return new ReportAnswer.Commands(view.epoch(), cancelled.stops(report), false);
        }
        if (!self.equals(record.controller())) {
            String better = view.isLive(record.controller())
                    ? record.controller().node()
                    : takeover.successor(view.group(view.groupOf(record.name())));
            if (!self.node().equals(better)) {
                // While its group is being taken over, an answer keeps its lease; the way back there would only fail.
                return stray(record, now)
                        ? new ReportAnswer.Commands(view.epoch(), cancelled.stops(report), true)
                        : new ReportAnswer.Elsewhere(better);
            }
        }
        Worker known = worker(report.machine(), now);
        boolean changed = known.take(report, now) && known.dueForLook(now);
        noteTrouble(report.machine(), known);
        if (report.session() > record.session()) {
            newSessions.add(report.machine());
            changed = true;
        }
        known.strayed(null);
        List<Command> commands = new ArrayList<>(cancelled.stops(report));
        if (commands(record, known) && known.fenced(record)) {
            commands.addAll(planner.forgets(record, known));
        }
        return new ReportAnswer.Commands(view.epoch(), commands, changed);
    }

    private boolean isStray(String machine) {
        Worker worker = workers.get(machine);
        return worker != null && worker.strayedAt() != null;
    }

    /** Whether a worker that was sent on is back because it cannot reach its controller, and may stay for one report. */
    private boolean stray(MachineRecord record, Instant now) {
        Worker worker = worker(record.name(), now);
        if (worker.strayedAt() == null
                || worker.strayedAt().plus(reportInterval.multipliedBy(10)).isBefore(now)) {
            worker.strayed(now);
            return false;
        }
        if (!view.isLive(record.controller())) {
            return false;
        }
        // One that hears nobody comes by all the same: its group would change hands again and again, and each time the
        // count of its silence would begin anew.
        if (worker.keptWithin(reportInterval.multipliedBy(5).dividedBy(4).plus(RETURN_MARGIN), now)) {
            takeover.strayed(view.groupOf(record.name()));
        }
        return worker.mayStay(now);
    }

    /** The answer to a direct command. */
    public void answered(WorkerReport report, Instant now) {
        Worker worker = workers.get(report.machine());
        MachineRecord record = view.machine(report.machine());
        if (worker != null && record != null) {
            worker.takeAnswer(report, now);
            noteTrouble(report.machine(), worker);
            if (report.session() > record.session()) {
                newSessions.add(report.machine());
            }
        }
    }

    /** Takes the outcome of a command that {@link #pushes} asked to send; every one of them must have exactly one. */
    public void pushEnded(CommandBatch push, CommandOutcome outcome, Instant now) {
        window.ended(push.sent(), outcome == CommandOutcome.ANSWERED, now);
        Worker worker = workers.get(push.machine());
        if (worker != null) {
            if (outcome == CommandOutcome.UNKNOWN && push.starts()) {
                worker.startUnknown(push.token());
                noteTrouble(push.machine(), worker);
            }
            switch (outcome) {
                case ANSWERED -> worker.commandAnswered(now);
                case NOT_TRIED -> worker.commandPutOff(now, RETRY);
                default -> worker.commandFailed(push.sent(), now, RETRY);
            }
        }
    }

    /** Whether the machine is this controller's, and the watch has brought all that was recorded before. */
    private boolean mine(MachineRecord record) {
        return record != null
                && record.up()
                && self.equals(record.controller())
                && view.watched() >= view.machineMark(record.name());
    }

    private boolean commands(MachineRecord record, Worker worker) {
        return mine(record)
                && worker != null
                && worker.newest() != null
                && worker.newest().session() == record.session();
    }

    /** Notes which machines the records show as changed. */
    private void touched(Instant now) {
        for (String name : view.drainTouched()) {
            MachineRecord record = view.machine(name);
            if (record != null && record.up() && self.equals(record.controller())) {
                Worker worker = worker(name, now);
                worker.commandedUnder(record.epoch(), now);
                worker.look(now);
            }
        }
    }

    /** All commands that are due now, one push for each machine; ends that are seen are noted for their keepers. */
    public List<CommandBatch> pushes(Instant now) {
        touched(now);
        Instant recent = now.minus(reportInterval.multipliedBy(2));
        List<CommandBatch> pushes = new ArrayList<>();
        for (String name : lookTimes.takeDue(now)) {
            looks++;
            Worker worker = workers.get(name);
            if (worker == null || !worker.dueForLook(now)) {
                continue;
            }
            MachineRecord record = view.machine(name);
            worker.lookedAt();
            if (!mine(record)) {
                if (record != null && record.up() && self.equals(record.controller())) {
                    worker.look(now.plusMillis(30));
                }
                continue;
            }
            if (commands(record, worker)) {
                ends.observe(record, worker, now);
                noteTrouble(name, worker);
            }
            if (worker.heard().isBefore(recent)) {
                // Most likely it is gone; its report would bring it back here.
                worker.look(now.plus(reportInterval));
                continue;
            }
            if (worker.commanding()) {
                // The outcome of its command brings it back here.
                continue;
            }
            if (!worker.mayCommand(now) || window.isFull()) {
                worker.look(now.plus(LOOK_AGAIN));
                continue;
            }
            boolean known = commands(record, worker);
            boolean fenced = known && worker.fenced(record);
            List<Command> commands = fenced ? planner.difference(record, worker) : List.of();
            // Without commands it asks the worker to confirm the epoch and to say what is there.
            boolean unknown = worker.newest() == null || worker.newest().session() < record.session();
            boolean introduce = unknown || known && !fenced && worker.newest().token() < view.epoch();
            if (introduce && (window.onTheirWay() >= MOST_QUESTIONS || !worker.mayAsk(now))) {
                // Its own report will most likely say the same: after a takeover hundreds come at once.
                introduce = false;
                worker.look(now.plus(RETRY));
            }
            if (!commands.isEmpty() || introduce || worker.deafSince() != null) {
                worker.commandSent();
                window.sent();
                pushes.add(new CommandBatch(
                        record.name(), record.address(), view.epoch(), record.session(), commands, now));
            }
        }
        return pushes;
    }

    /** How often any worker was looked at. */
    long looks() {
        return looks;
    }

    /** Ends to be told to the keepers of their jobs, by node; each batch is asked for once. */
    public Map<String, List<EndNotice>> drainNotices() {
        return ends.drainNotices();
    }

    /** Ends that the controller of a machine has seen. */
    public void noticed(Collection<EndNotice> notices, Instant now) {
        ends.noticed(notices, now);
    }

    /** Takes over groups, records sessions, and marks machines that are faulty, silent, deaf or about to be taken. */
    public void propose(Transaction draft, Instant now) {
        takeover.propose(draft);
        recordSessions(draft);
        failingJobs.update(
                troubled.stream()
                        .map(workers::get)
                        .filter(worker -> worker != null && !worker.failedJobsNone())
                        .toList(),
                now);
        boolean raise = false;
        troubled.removeIf(
                name -> !workers.containsKey(name) || !workers.get(name).hasTrouble());
        for (String name : troubled) {
            Worker worker = workers.get(name);
            MachineRecord record = draft.machine(name);
            if (!commands(record, worker)) {
                continue;
            }
            raise |= worker.openBelow() >= draft.epoch();
            beforeTaken(draft, record, worker, now);
            if (draft.machine(name).fate() == Disposition.STAYS
                    && draft.canPutMachine(record.name())
                    && (worker.noticeEnd() != null || failingJobs.isFaulty(worker, now))) {
                draft.putMachine(record.meant(Disposition.LEAVING));
            }
        }
        if (raise && raisedAt.plus(RAISE_PAUSE).isBefore(now) && draft.hasRoomFor(1)) {
            raisedAt = now;
            draft.raiseEpoch();
        }
        silent.propose(draft, now);
        giveUpOverdue(draft);
    }

    /**
     * A cancelled job's limit runs from its cancellation, whoever has led or commanded since and however often
     * listening began anew: before it is over, machines on which its tasks may still be are given up.
     */
    private void giveUpOverdue(Transaction draft) {
        for (JobRecord job : view.jobs()) {
            if (!cancelled.overdue(job, draft.timeOfDay())) {
                continue;
            }
            for (Placement placement : job.live()) {
                MachineRecord record = draft.machine(placement.machine());
                if (record != null
                        && self.equals(record.controller())
                        && record.session() == placement.session()
                        && record.fate() != Disposition.LOST
                        && draft.canPutMachine(record.name())
                        && !seenGone(record, AttemptId.of(job, placement))) {
                    LOG.info(
                            "gives up {}, a task of {} should have been gone",
                            record.name(),
                            job.request().id());
                    draft.putMachine(record.meant(Disposition.LOST));
                }
            }
        }
    }

    private boolean seenGone(MachineRecord record, AttemptId id) {
        Worker worker = workers.get(record.name());
        if (!commands(record, worker) || !worker.fenced(record) || worker.commanding()) {
            return false;
        }
        TaskReport task = worker.tasks().get(id);
        return task == null || task.ended();
    }

    /**
     * Before the cloud takes a machine away, tasks that can save are stopped in time to do so; at the end the machine
     * is returned without waiting for its silence to be noticed.
     */
    private void beforeTaken(Transaction draft, MachineRecord record, Worker worker, Instant now) {
        if (worker.noticeEnd() == null) {
            return;
        }
        if (!now.isBefore(worker.noticeEnd())) {
            if (record.fate() != Disposition.LOST && draft.canPutMachine(record.name())) {
                draft.putMachine(record.meant(Disposition.LOST));
            }
            return;
        }
        view.placementsOn(record.name()).forEach((id, placement) -> {
            JobRecord job = draft.job(id.task().job());
            if (job == null || !job.request().saves() || !draft.hasRoomFor(2)) {
                return;
            }
            Placement current = job.placementOf(placement.task(), placement.attempt());
            Instant latest = worker.noticeEnd().minus(CommandPlanner.grace(job)).minus(NOTICE_MARGIN);
            if (current != null && !current.stopping() && !now.isBefore(latest)) {
                draft.putJob(job.stopping(current::equals));
            }
        });
    }

    private void recordSessions(Transaction draft) {
        newSessions.removeIf(name -> {
            Worker worker = workers.get(name);
            MachineRecord record = view.machine(name);
            return worker == null
                    || worker.newest() == null
                    || record == null
                    || !self.equals(record.controller())
                    || record.session() >= worker.newest().session();
        });
        for (String name : newSessions) {
            MachineRecord record = draft.machine(name);
            if (record != null && draft.canPutMachine(name)) {
                WorkerReport report = workers.get(name).newest();
                draft.putMachine(record.inSession(report.session(), report.address()));
            }
        }
    }

    /** Machines here that can be given tasks now. */
    public List<MachineRecord> ready(Instant now) {
        List<MachineRecord> ready = new ArrayList<>();
        Instant recent = now.minus(reportInterval.multipliedBy(2));
        for (Map.Entry<String, Worker> entry : workers.entrySet()) {
            MachineRecord record = view.machine(entry.getKey());
            Worker worker = entry.getValue();
            if (worker.deafSince() == null
                    && !worker.mute()
                    && worker.heard().isAfter(recent)
                    && commands(record, worker)
                    && record.takesTasks()
                    && worker.fenced(record)) {
                ready.add(record);
            }
        }
        return ready;
    }

    /** Drops what is kept of machines that are gone or that another controller commands. */
    public void tidy(Instant now) {
        if (tidiedAt.plus(TIDY_EVERY).isAfter(now)) {
            return;
        }
        tidiedAt = now;
        workers.entrySet().removeIf(entry -> {
            MachineRecord record = view.machine(entry.getKey());
            Worker worker = entry.getValue();
            boolean mine = record != null && self.equals(record.controller());
            boolean strayed = worker.strayedAt() != null
                    && now.isBefore(worker.strayedAt().plus(Duration.ofMinutes(1)));
            return !mine && !strayed && !worker.commanding();
        });
    }
}
