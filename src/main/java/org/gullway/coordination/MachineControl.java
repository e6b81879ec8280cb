package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.MachineRecord.Fate;
import org.gullway.protocol.Command;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.TaskReport;
import org.gullway.protocol.WorkerReport;

/**
 * The machines whose workers report to this controller. Recorded placements are what is wanted; the worker's newest
 * message is what is; the difference becomes commands. Ends seen here become changes of the records.
 */
public final class MachineControl {
    private static final Duration RETRY = Duration.ofMillis(500);
    private static final Duration NOTICE_MARGIN = Duration.ofSeconds(1);
    private static final Duration ERROR_WINDOW = Duration.ofMinutes(2);
    private static final int ERRORS_OF_JOBS = 2;

    private final ClusterView view;
    private final Incarnation self;
    private final Duration reportInterval;
    private final Map<String, Worker> workers = new HashMap<>();
    private final Set<String> claims = new HashSet<>();
    /** Since when reports are taken without a break; before that, silence says nothing about a worker. */
    private Instant listeningSince = Instant.MAX;

    public MachineControl(ClusterView view, Incarnation self, Duration reportInterval) {
        this.view = view;
        this.self = self;
        this.reportInterval = reportInterval;
    }

    /** To be told in every round whether this controller is entitled to act, and so takes reports. */
    public void entitled(boolean entitled, Instant now) {
        if (!entitled) {
            listeningSince = Instant.MAX;
        } else if (listeningSince.equals(Instant.MAX)) {
            listeningSince = now;
        }
    }

    /** How a report is answered. */
    public sealed interface Answer {
        record Commands(long token, List<Command> commands) implements Answer {
        }

        /** The worker should report to another controller; null leaves the choice to it. */
        record Elsewhere(String controller) implements Answer {
        }

        /** This controller's knowledge is behind the worker's. */
        record NotYet() implements Answer {
        }
    }

    /** Commands to be sent to a worker now. */
    public record Push(String machine, String address, long token, long session, List<Command> commands) {
        public boolean starts() {
            return commands.stream().anyMatch(c -> c.kind() == Command.Kind.START);
        }
    }

    public Answer report(WorkerReport report, Instant now) {
        if (report.token() > view.epoch()) {
            return new Answer.NotYet();
        }
        MachineRecord record = view.machine(report.machine());
        Worker worker = workers.get(report.machine());
        if (record == null || !record.up()) {
            String better = fewestMachines();
            if (better != null && (worker == null || worker.strayedAt() == null)) {
                stray(report.machine(), now);
                return new Answer.Elsewhere(better);
            }
            claims.add(report.machine());
        } else if (!self.equals(record.controller())) {
            boolean comesBack = worker != null && worker.strayedAt() != null
                    && now.isBefore(worker.strayedAt().plus(reportInterval.multipliedBy(10)));
            if (view.isLive(record.controller()) && !comesBack) {
                stray(report.machine(), now);
                return new Answer.Elsewhere(record.controller().node());
            }
            claims.add(report.machine());
        } else if (report.session() > record.session()) {
            claims.add(report.machine());
        }
        Worker known = workers.computeIfAbsent(report.machine(), m -> new Worker());
        known.take(report, now);
        known.strayed(null);
        return new Answer.Commands(view.epoch(), forgets(known, record));
    }

    private void stray(String machine, Instant now) {
        workers.computeIfAbsent(machine, m -> new Worker()).strayed(now);
    }

    /** A live controller with at least two machines fewer than this one, or null. */
    private String fewestMachines() {
        Map<String, Integer> counts = new HashMap<>();
        view.members().keySet().forEach(node -> counts.put(node, 0));
        for (MachineRecord machine : view.machines()) {
            if (machine.up() && view.isLive(machine.controller())) {
                counts.merge(machine.controller().node(), 1, Integer::sum);
            }
        }
        int mine = counts.getOrDefault(self.node(), 0);
        return counts.entrySet().stream()
                .filter(e -> e.getValue() + 2 <= mine)
                .min(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey).orElse(null);
    }

    /** The answer to a direct command. */
    public void answered(WorkerReport report, Instant now) {
        Worker worker = workers.get(report.machine());
        if (worker != null) {
            worker.take(report, now);
            if (report.session() > sessionOf(report.machine())) {
                claims.add(report.machine());
            }
        }
    }

    private long sessionOf(String machine) {
        MachineRecord record = view.machine(machine);
        return record == null ? Long.MAX_VALUE : record.session();
    }

    /** The outcome of a push: unknown if the worker may still get it. */
    public void pushEnded(Push push, boolean unknown, boolean failed, Instant now) {
        Worker worker = workers.get(push.machine());
        if (worker != null) {
            if (unknown && push.starts()) {
                worker.startUnknown(push.token());
            }
            worker.commandEnded(now, failed ? RETRY : Duration.ZERO);
        }
    }

    /** Whether the machine is this controller's, and the watch has brought all that was recorded before. */
    private boolean commands(MachineRecord record, Worker worker) {
        return record != null && self.equals(record.controller()) && worker != null && worker.newest() != null
                && worker.newest().session() == record.session()
                && view.watched() >= view.mark(Keys.machine(record.name()));
    }

    private List<Command> forgets(Worker worker, MachineRecord record) {
        if (!commands(record, worker) || !worker.fenced(record)) {
            return List.of();
        }
        List<Command> list = new ArrayList<>();
        Map<AttemptId, Placement> wanted = view.placementsOn(record.name());
        worker.tasks().forEach((id, task) -> {
            if (task.ended() && !wanted.containsKey(id) && worker.mayForget(id, task)) {
                list.add(Command.forget(id.task(), id.attempt()));
            }
        });
        return list;
    }

    /** All commands that are due now, one push for each machine. */
    public List<Push> pushes(Instant now) {
        List<Push> pushes = new ArrayList<>();
        for (Map.Entry<String, Worker> entry : workers.entrySet()) {
            Worker worker = entry.getValue();
            MachineRecord record = view.machine(entry.getKey());
            if (!commands(record, worker) || !worker.mayCommand(now)
                    || worker.heard().plus(reportInterval.multipliedBy(4)).isBefore(now)) {
                continue;
            }
            List<Command> commands = new ArrayList<>();
            boolean fenced = worker.fenced(record);
            if (fenced) {
                difference(record, worker, commands);
            }
            if (!commands.isEmpty() || !fenced && worker.newest().token() < view.epoch()) {
                worker.commandSent();
                pushes.add(new Push(record.name(), worker.newest().address(), view.epoch(), record.session(), commands));
            }
        }
        return pushes;
    }

    private void difference(MachineRecord record, Worker worker, List<Command> commands) {
        Map<AttemptId, Placement> wanted = view.placementsOn(record.name());
        wanted.forEach((id, placement) -> {
            if (placement.session() != record.session()) {
                return;
            }
            JobRecord job = view.job(id.task().job());
            TaskReport task = worker.tasks().get(id);
            boolean stop = placement.stopping() || job.cancelled();
            if (task == null && !stop) {
                commands.add(Command.start(id.task(), id.attempt()));
            } else if (task != null && stop && !task.ended() && task.phase() != TaskReport.Phase.SAVING) {
                commands.add(Command.stop(id.task(), id.attempt(), grace(job)));
            } else if (task != null && job.cancelled() && task.phase() == TaskReport.Phase.SAVING) {
                commands.add(Command.stop(id.task(), id.attempt(), Duration.ZERO));
            }
        });
        worker.tasks().forEach((id, task) -> {
            if (!task.ended() && !wanted.containsKey(id)) {
                commands.add(Command.stop(id.task(), id.attempt(), Duration.ZERO));
            }
        });
    }

    private static Duration grace(JobRecord job) {
        JobRequest request = job.request();
        return job.cancelled() || !request.saves() ? Duration.ZERO
                : request.save().multipliedBy(2).plusSeconds(1);
    }

    /** Takes over machines, records ends, and marks machines that are faulty, silent or about to be taken. */
    public void propose(Draft draft, Instant now, Instant timeOfDay) {
        claim(draft, timeOfDay);
        for (Map.Entry<String, Worker> entry : workers.entrySet()) {
            Worker worker = entry.getValue();
            MachineRecord record = draft.machine(entry.getKey());
            if (!commands(record, worker)) {
                continue;
            }
            ends(draft, record, worker, now);
            if (worker.openBelow() >= draft.epoch() && draft.hasRoomFor(1)) {
                draft.raiseEpoch();
            }
            beforeTaken(draft, record, worker, now);
            if (record.fate() == Fate.STAYS && draft.hasRoomFor(1)
                    && (worker.noticeEnd() != null || worker.failedLately(now, ERROR_WINDOW).size() >= ERRORS_OF_JOBS)) {
                draft.put(Keys.machine(record.name()), record.meant(Fate.LEAVING));
            }
        }
        markSilent(draft, now);
    }

    /**
     * Before the cloud takes a machine away, tasks that can save are stopped in time to do so; at the end the machine
     * is returned without waiting for its silence to be noticed.
     */
    private void beforeTaken(Draft draft, MachineRecord record, Worker worker, Instant now) {
        if (worker.noticeEnd() == null) {
            return;
        }
        if (!now.isBefore(worker.noticeEnd())) {
            if (record.fate() != Fate.LOST && draft.hasRoomFor(1)) {
                draft.put(Keys.machine(record.name()), record.meant(Fate.LOST));
            }
            return;
        }
        view.placementsOn(record.name()).forEach((id, placement) -> {
            JobRecord job = draft.job(id.task().job());
            if (job == null || !job.request().saves() || !draft.hasRoomFor(2)) {
                return;
            }
            Placement current = job.placementOf(placement.task(), placement.attempt());
            Instant latest = worker.noticeEnd().minus(grace(job)).minus(NOTICE_MARGIN);
            if (current != null && !current.stopping() && !now.isBefore(latest)) {
                draft.putJob(job.stopping(current::equals));
            }
        });
    }

    private void claim(Draft draft, Instant timeOfDay) {
        claims.removeIf(name -> {
            Worker worker = workers.get(name);
            MachineRecord record = view.machine(name);
            return worker == null || worker.newest() == null
                    || record != null && self.equals(record.controller())
                    && record.session() >= worker.newest().session();
        });
        for (String name : claims) {
            if (!draft.hasRoomFor(2)) {
                return;
            }
            WorkerReport report = workers.get(name).newest();
            MachineRecord record = draft.machine(name);
            if (record == null) {
                record = MachineRecord.booting(name, report.type(), report.zone(), report.spot(), timeOfDay);
            }
            if (record.session() > report.session()) {
                continue;
            }
            boolean another = record.controller() != null && !record.controller().equals(self);
            long epoch = another || draft.epoch() == 0 ? draft.raiseEpoch() : Math.max(record.epoch(), 1);
            draft.put(Keys.machine(name), record.claimed(self, report.address(), report.session(), epoch));
        }
    }

    private void ends(Draft draft, MachineRecord record, Worker worker, Instant now) {
        boolean fenced = worker.fenced(record);
        view.placementsOn(record.name()).forEach((id, placement) -> {
            if (placement.session() != record.session() || !draft.hasRoomFor(2)) {
                return;
            }
            JobRecord job = draft.job(id.task().job());
            if (job == null || job.placementOf(placement.task(), placement.attempt()) == null) {
                return;
            }
            Placement current = job.placementOf(placement.task(), placement.attempt());
            TaskReport task = worker.tasks().get(id);
            if (task == null) {
                boolean neverStarted = fenced && !worker.commanding() && (current.stopping() || job.cancelled());
                if (neverStarted) {
                    draft.putJob(job.ended(current, false));
                }
            } else if (task.ended() && task.cause() == TaskReport.Cause.DONE) {
                worker.succeeded();
                draft.putJob(job.completed(current));
            } else if (task.ended() && fenced) {
                boolean failed = switch (task.cause()) {
                    case ERROR, UNKNOWN_JOB, OTHER -> true;
                    default -> false;
                };
                if (failed) {
                    worker.failed(job.request().id(), now);
                }
                draft.putJob(job.ended(current, failed));
            }
        });
    }

    /**
     * A machine that has been silent for several intervals is given up. While all are silent the fault is more likely
     * to be this controller's own network, and their workers turn to others; then it takes longer.
     */
    private void markSilent(Draft draft, Instant now) {
        Instant limit = now.minus(reportInterval.multipliedBy(3).plusSeconds(1));
        if (!listeningSince.isBefore(limit)) {
            // After an outage of the state store all workers have been refused for a while (simulated day 99336).
            return;
        }
        Instant longLimit = limit.minus(reportInterval.multipliedBy(4));
        Instant recent = now.minus(reportInterval.multipliedBy(2));
        List<Worker> mine = new ArrayList<>();
        List<MachineRecord> silent = new ArrayList<>();
        for (MachineRecord record : view.machines()) {
            Worker worker = workers.get(record.name());
            if (self.equals(record.controller()) && worker != null && worker.heard() != null) {
                mine.add(worker);
                if (worker.heard().isBefore(limit)) {
                    silent.add(record);
                }
            }
        }
        boolean othersHeard = mine.stream().anyMatch(w -> w.heard().isAfter(recent));
        for (MachineRecord record : silent) {
            boolean longSilent = workers.get(record.name()).heard().isBefore(longLimit);
            if ((othersHeard || longSilent) && record.fate() != Fate.LOST && draft.hasRoomFor(1)) {
                draft.put(Keys.machine(record.name()), draft.machine(record.name()).meant(Fate.LOST));
            }
        }
    }

    /** Machines here that can be given tasks now. */
    public List<MachineRecord> ready(Instant now) {
        List<MachineRecord> ready = new ArrayList<>();
        for (Map.Entry<String, Worker> entry : workers.entrySet()) {
            MachineRecord record = view.machine(entry.getKey());
            Worker worker = entry.getValue();
            if (commands(record, worker) && record.takesTasks() && worker.fenced(record)
                    && worker.heard().plus(reportInterval.multipliedBy(2)).isAfter(now)) {
                ready.add(record);
            }
        }
        return ready;
    }

    /** Drops what is kept of machines that are gone or that another controller commands. */
    public void tidy(Instant now) {
        workers.entrySet().removeIf(entry -> {
            MachineRecord record = view.machine(entry.getKey());
            Worker worker = entry.getValue();
            boolean mine = record != null && self.equals(record.controller());
            boolean strayed = worker.strayedAt() != null && now.isBefore(worker.strayedAt().plus(Duration.ofMinutes(1)));
            return !mine && !claims.contains(entry.getKey()) && !strayed && !worker.commanding();
        });
    }
}
