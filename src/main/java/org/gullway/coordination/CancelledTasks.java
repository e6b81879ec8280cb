package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.protocol.Cancellations;
import org.gullway.protocol.Command;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskReport;
import org.gullway.protocol.WorkerReport;

/**
 * Tasks of cancelled jobs that may still be on machines. Stopping them is always safe, so it needs no entitlement:
 * every answer to a report carries the stops, and a controller without the state service sends them directly. What does
 * not answer such a command is returned to the cloud before the limit, since only the cloud can end a task on a machine
 * that hangs; the records follow later.
 */
public final class CancelledTasks {
    private static final Duration PRESS_AGAIN = Duration.ofSeconds(1);
    private static final int MOST_PRESSING = 32;
    /** The last part of the limit is left for the machine's return: a call that may have to be repeated. */
    private static final int LAST_PART = 4;

    private final ClusterView view;
    private final Duration patience;
    /** Cancelled jobs that the view does not show as such, from peers or from a reading of one record. */
    private final Map<String, Learned> learned = new LinkedHashMap<>();
    /** Attempts that a worker's answer has shown to be gone while this controller was not entitled. */
    private final Set<AttemptId> gone = new HashSet<>();

    private final Map<String, Instant> pressedAt = new HashMap<>();
    private int pressing;

    private record Learned(Cancellations.Job job, Instant at) {}

    private record Left(Instant cancelledAt, AttemptId id, String machine, long session) {}

    public CancelledTasks(ClusterView view, Duration cancelLimit) {
        this.view = view;
        this.patience = cancelLimit.minus(cancelLimit.dividedBy(LAST_PART));
    }

    // Knowledge

    private boolean isCancelled(String job) {
        return view.isCancelled(job) || learned.containsKey(job);
    }

    /** A cancelled job of which a peer has told, or a record that was read by itself. */
    public void learn(Cancellations.Job job, Instant now) {
        if (!view.isCancelled(job.id())) {
            learned.putIfAbsent(job.id(), new Learned(job, now));
        }
    }

    public void learn(JobRecord record, Instant now) {
        if (record.cancelled()) {
            learn(told(record), now);
        }
    }

    private static Cancellations.Job told(JobRecord job) {
        return new Cancellations.Job(
                job.request().id(),
                job.cancelledAt().toEpochMilli(),
                job.live().stream()
                        .map(p -> new Cancellations.Attempt(p.task(), p.attempt(), p.machine(), p.session()))
                        .toList());
    }

    /** All cancelled jobs known here whose tasks may still be on machines. */
    public List<Cancellations.Job> known() {
        List<Cancellations.Job> jobs = new ArrayList<>();
        for (JobRecord job : view.jobs()) {
            if (job.cancelled()) {
                jobs.add(told(job));
            }
        }
        learned.forEach((id, each) -> {
            if (!view.isCancelled(id)) {
                jobs.add(each.job());
            }
        });
        return jobs;
    }

    /**
     * To be told when this controller is entitled again: from then on the records say what is gone.
     *
     * @param knownUntil the moment up to which all commits are surely in the view: what was learned before is there
     */
    public void entitled(Instant knownUntil) {
        gone.clear();
        pressedAt.clear();
        learned.values().removeIf(each -> each.at().isBefore(knownUntil));
    }

    private List<Left> left() {
        List<Left> left = new ArrayList<>();
        for (JobRecord job : view.jobs()) {
            if (job.cancelled()) {
                job.live()
                        .forEach(p ->
                                add(left, new Left(job.cancelledAt(), AttemptId.of(job, p), p.machine(), p.session())));
            }
        }
        learned.forEach((id, each) -> {
            if (!view.isCancelled(id)) {
                Instant at = Instant.ofEpochMilli(each.job().cancelledAt());
                each.job()
                        .attempts()
                        .forEach(a -> add(
                                left,
                                new Left(
                                        at,
                                        new AttemptId(new TaskId(id, a.task()), a.attempt()),
                                        a.machine(),
                                        a.session())));
            }
        });
        return left;
    }

    private void add(List<Left> list, Left left) {
        MachineRecord machine = view.machine(left.machine());
        if (machine != null && machine.session() == left.session()) {
            list.add(left);
        }
    }

    // Answers to reports

    /** Stops for what the worker lists as live. */
    public List<Command> stops(WorkerReport report) {
        List<Command> stops = new ArrayList<>();
        for (TaskReport task : report.tasks()) {
            if (!task.ended() && isCancelled(task.task().job())) {
                stops.add(Command.stop(task.task(), task.attempt(), Duration.ZERO));
            }
        }
        return stops;
    }

    /** Whether a cancelled task is on record there that the worker does not list, so that its start may yet arrive. */
    boolean mayBegin(MachineRecord machine, WorkerReport report) {
        Set<AttemptId> listed = new HashSet<>();
        report.tasks().forEach(task -> listed.add(new AttemptId(task.task(), task.attempt())));
        return left().stream().anyMatch(left -> left.machine().equals(machine.name()) && !listed.contains(left.id()));
    }

    // Without entitlement

    /** Whether a task of this job should have been gone by now, so that its machine has to go instead. */
    boolean overdue(JobRecord job, Instant timeOfDay) {
        return job.cancelled() && overdue(job.cancelledAt(), timeOfDay);
    }

    private boolean overdue(Instant cancelledAt, Instant timeOfDay) {
        return cancelledAt.plus(patience).isBefore(timeOfDay);
    }

    /** Stops for all machines on which cancelled tasks may be, whoever commands them. */
    public List<CommandBatch> press(Instant now) {
        Map<String, List<Command>> due = new LinkedHashMap<>();
        for (Left left : left()) {
            if (!gone.contains(left.id())) {
                due.computeIfAbsent(left.machine(), m -> new ArrayList<>())
                        .add(Command.stop(left.id().task(), left.id().attempt(), Duration.ZERO));
            }
        }
        List<CommandBatch> pushes = new ArrayList<>();
        due.forEach((name, stops) -> {
            MachineRecord machine = view.machine(name);
            Instant before = pressedAt.getOrDefault(name, Instant.MIN);
            if (machine.address() != null
                    && pressing < MOST_PRESSING
                    && !before.plus(PRESS_AGAIN).isAfter(now)) {
                pressing++;
                pressedAt.put(name, Instant.MAX.minus(PRESS_AGAIN));
                pushes.add(new CommandBatch(name, machine.address(), view.epoch(), machine.session(), stops, now));
            }
        });
        return pushes;
    }

    /** The command has ended, whatever became of it. */
    public void pressed(CommandBatch push, Instant now) {
        pressing--;
        pressedAt.computeIfPresent(push.machine(), (name, before) -> now);
    }

    /** Takes the answer to a direct command; a report would not do, since it may be an old copy. */
    public void answered(WorkerReport answer) {
        Set<AttemptId> live = new HashSet<>();
        answer.tasks().stream()
                .filter(task -> !task.ended())
                .forEach(task -> live.add(new AttemptId(task.task(), task.attempt())));
        for (Left left : left()) {
            if (left.machine().equals(answer.machine())
                    && (answer.session() > left.session()
                            || answer.session() == left.session() && !live.contains(left.id()))) {
                // What begins there later ends with the lease, which nobody renews while its start may be on its way.
                gone.add(left.id());
            }
        }
    }

    /** Machines to be returned now, since their cancelled tasks cannot be stopped otherwise. */
    public Set<String> machinesToReturn(Instant timeOfDay) {
        Set<String> machines = new HashSet<>();
        for (Left left : left()) {
            if (!gone.contains(left.id()) && overdue(left.cancelledAt(), timeOfDay)) {
                machines.add(left.machine());
            }
        }
        return machines;
    }
}
