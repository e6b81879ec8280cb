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
import org.gullway.coordination.MachineControl.Push;
import org.gullway.protocol.Command;
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
    /** Attempts that a worker's answer has shown to be gone while this controller was not entitled. */
    private final Set<AttemptId> gone = new HashSet<>();
    private final Map<String, Instant> pressedAt = new HashMap<>();
    private int pressing;

    public CancelledTasks(ClusterView view, Duration cancelLimit) {
        this.view = view;
        this.patience = cancelLimit.minus(cancelLimit.dividedBy(LAST_PART));
    }

    /** Stops for what the worker lists as live. */
    public List<Command> stops(WorkerReport report) {
        List<Command> stops = new ArrayList<>();
        for (TaskReport task : report.tasks()) {
            if (!task.ended() && view.isCancelled(task.task().job())) {
                stops.add(Command.stop(task.task(), task.attempt(), Duration.ZERO));
            }
        }
        return stops;
    }

    /** Whether a cancelled task is on record there that the worker does not list, so that its start may yet arrive. */
    boolean mayBegin(MachineRecord machine, WorkerReport report) {
        Set<AttemptId> listed = new HashSet<>();
        report.tasks().forEach(task -> listed.add(new AttemptId(task.task(), task.attempt())));
        return view.placementsOn(machine.name()).entrySet().stream().anyMatch(e ->
                e.getValue().session() == machine.session() && view.isCancelled(e.getKey().task().job())
                        && !listed.contains(e.getKey()));
    }

    /** Whether a task of this job should have been gone by now, so that its machine has to go instead. */
    boolean overdue(JobRecord job, Instant timeOfDay) {
        return job.cancelled() && job.cancelledAt().plus(patience).isBefore(timeOfDay);
    }

    /** To be told when this controller is entitled again: from then on the records say what is gone. */
    public void forget() {
        gone.clear();
        pressedAt.clear();
    }

    /** Without entitlement: stops for all machines on which cancelled tasks may be, whoever commands them. */
    public List<Push> press(Instant now) {
        Map<String, List<Command>> due = new LinkedHashMap<>();
        forEachLeft((id, placement) -> due.computeIfAbsent(placement.machine(), m -> new ArrayList<>())
                .add(Command.stop(id.task(), id.attempt(), Duration.ZERO)));
        List<Push> pushes = new ArrayList<>();
        due.forEach((name, stops) -> {
            MachineRecord machine = view.machine(name);
            Instant before = pressedAt.getOrDefault(name, Instant.MIN);
            if (machine.address() != null && pressing < MOST_PRESSING && !before.plus(PRESS_AGAIN).isAfter(now)) {
                pressing++;
                pressedAt.put(name, Instant.MAX.minus(PRESS_AGAIN));
                pushes.add(new Push(name, machine.address(), view.epoch(), machine.session(), stops, now));
            }
        });
        return pushes;
    }

    /** The command has ended, whatever became of it. */
    public void pressed(Push push, Instant now) {
        pressing--;
        pressedAt.computeIfPresent(push.machine(), (name, before) -> now);
    }

    /** Takes the answer to a direct command; a report would not do, since it may be an old copy. */
    public void answered(WorkerReport answer) {
        Set<AttemptId> live = new HashSet<>();
        answer.tasks().stream().filter(task -> !task.ended())
                .forEach(task -> live.add(new AttemptId(task.task(), task.attempt())));
        view.placementsOn(answer.machine()).forEach((id, placement) -> {
            if (view.isCancelled(id.task().job())
                    && (answer.session() > placement.session() || answer.session() == placement.session() && !live.contains(id))) {
                // What begins there later ends with the lease, which nobody renews while its start may be on its way.
                gone.add(id);
            }
        });
    }

    /** Without entitlement: machines to be returned now, since their cancelled tasks cannot be stopped otherwise. */
    public Set<String> machinesToReturn(Instant timeOfDay) {
        Set<String> machines = new HashSet<>();
        forEachLeft((id, placement) -> {
            if (overdue(view.job(id.task().job()), timeOfDay)) {
                machines.add(placement.machine());
            }
        });
        return machines;
    }

    private interface Left {
        void take(AttemptId id, Placement placement);
    }

    private void forEachLeft(Left action) {
        for (JobRecord job : view.jobs()) {
            if (!job.cancelled()) {
                continue;
            }
            for (Placement placement : job.live()) {
                MachineRecord machine = view.machine(placement.machine());
                AttemptId id = AttemptId.of(job, placement);
                if (machine != null && machine.session() == placement.session() && !gone.contains(id)) {
                    action.take(id, placement);
                }
            }
        }
    }
}
