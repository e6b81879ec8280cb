package org.gullway.coordination.cancellation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.PeerCancellations;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;

/**
 * Tasks of cancelled jobs that may still be on machines. Stopping them is always safe, so it needs no entitlement:
 * every answer to a report carries the stops, and a controller without the state service sends them directly. What does
 * not answer such a command is returned to the cloud before the limit, since only the cloud can end a task on a machine
 * that hangs; the records follow later.
 */
public final class CancellationEnforcer {
    private static final Duration STOP_RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAX_STOPS_IN_FLIGHT = 32;
    /** The last part of the limit is left for the machine's return: a call that may have to be repeated. */
    private static final int TERMINATION_DIVISOR = 4;

    private final ClusterState clusterState;
    private final Duration terminateAfter;
    /** Cancelled jobs that the view does not show as such, from peers or from a reading of one record. */
    private final Map<String, ReportedCancellation> reportedCancellations = new LinkedHashMap<>();
    /** Attempts that a worker's answer has shown to be gone while this controller was not entitled. */
    private final Set<AttemptId> confirmedGone = new HashSet<>();

    private final Map<String, Instant> lastStopAt = new HashMap<>();
    private int stopsInFlight;

    private record ReportedCancellation(PeerCancellations.CancelledJob job, Instant at) {}

    private record RemainingAttempt(Instant cancelledAt, AttemptId id, String machine, long agentEpoch) {}

    public CancellationEnforcer(ClusterState clusterState, Duration cancelLimit) {
        this.clusterState = clusterState;
        this.terminateAfter = cancelLimit.minus(cancelLimit.dividedBy(TERMINATION_DIVISOR));
    }

    // Knowledge

    private boolean isCancelled(String job) {
        return clusterState.isCancelled(job) || reportedCancellations.containsKey(job);
    }

    /** A cancelled job of which a peer has told, or a record that was read by itself. */
    public void merge(PeerCancellations.CancelledJob job, Instant now) {
        if (!clusterState.isCancelled(job.id())) {
            reportedCancellations.putIfAbsent(job.id(), new ReportedCancellation(job, now));
        }
    }

    public void merge(JobRecord record, Instant now) {
        if (record.isCancelled()) {
            merge(toPeerRecord(record), now);
        }
    }

    private static PeerCancellations.CancelledJob toPeerRecord(JobRecord job) {
        return new PeerCancellations.CancelledJob(
                job.request().id(),
                job.cancelledAt().toEpochMilli(),
                job.livePlacements().stream()
                        .map(p -> new PeerCancellations.CancelledAttempt(
                                p.task(), p.attempt(), p.machine(), p.agentEpoch()))
                        .toList());
    }

    /** All cancelled jobs known here whose tasks may still be on machines. */
    public List<PeerCancellations.CancelledJob> knownCancellations() {
        List<PeerCancellations.CancelledJob> jobs = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isCancelled()) {
                jobs.add(toPeerRecord(job));
            }
        }
        reportedCancellations.forEach((id, each) -> {
            if (!clusterState.isCancelled(id)) {
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
    public void onLeaseRegained(Instant knownThrough) {
        confirmedGone.clear();
        lastStopAt.clear();
        reportedCancellations.values().removeIf(each -> each.at().isBefore(knownThrough));
    }

    private List<RemainingAttempt> remainingAttempts() {
        List<RemainingAttempt> left = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isCancelled()) {
                job.livePlacements()
                        .forEach(p -> add(
                                left,
                                new RemainingAttempt(
                                        job.cancelledAt(), AttemptId.of(job, p), p.machine(), p.agentEpoch())));
            }
        }
        reportedCancellations.forEach((id, each) -> {
            if (!clusterState.isCancelled(id)) {
                Instant at = Instant.ofEpochMilli(each.job().cancelledAt());
                each.job()
                        .attempts()
                        .forEach(a -> add(
                                left,
                                new RemainingAttempt(
                                        at,
                                        new AttemptId(new TaskId(id, a.task()), a.attempt()),
                                        a.machine(),
                                        a.agentEpoch())));
            }
        });
        return left;
    }

    private void add(List<RemainingAttempt> list, RemainingAttempt left) {
        MachineRecord machine = clusterState.machine(left.machine());
        if (machine != null && machine.agentEpoch() == left.agentEpoch()) {
            list.add(left);
        }
    }

    // Answers to reports

    /** Stops for what the worker lists as live. */
    public List<AgentCommand> stopCommands(Heartbeat heartbeat) {
        List<AgentCommand> stops = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (!task.isEnded() && isCancelled(task.task().job())) {
                stops.add(AgentCommand.stop(task.task(), task.attempt(), Duration.ZERO));
            }
        }
        return stops;
    }

    /** Whether a cancelled task is on record there that the worker does not list, so that its start may yet arrive. */
    boolean mayStillStart(MachineRecord machine, Heartbeat heartbeat) {
        Set<AttemptId> listed = new HashSet<>();
        heartbeat.tasks().forEach(task -> listed.add(new AttemptId(task.task(), task.attempt())));
        return remainingAttempts().stream()
                .anyMatch(left -> left.machine().equals(machine.name()) && !listed.contains(left.id()));
    }

    // Without entitlement

    /** Whether a task of this job should have been gone by now, so that its machine has to go instead. */
    public boolean isOverdue(JobRecord job, Instant timeOfDay) {
        return job.isCancelled() && isOverdue(job.cancelledAt(), timeOfDay);
    }

    private boolean isOverdue(Instant cancelledAt, Instant timeOfDay) {
        return cancelledAt.plus(terminateAfter).isBefore(timeOfDay);
    }

    /** Stops for all machines on which cancelled tasks may be, whoever commands them. */
    public List<CommandBatch> stopsToRetry(Instant now) {
        Map<String, List<AgentCommand>> due = new LinkedHashMap<>();
        for (RemainingAttempt left : remainingAttempts()) {
            if (!confirmedGone.contains(left.id())) {
                due.computeIfAbsent(left.machine(), m -> new ArrayList<>())
                        .add(AgentCommand.stop(left.id().task(), left.id().attempt(), Duration.ZERO));
            }
        }
        List<CommandBatch> pushes = new ArrayList<>();
        due.forEach((name, stops) -> {
            MachineRecord machine = clusterState.machine(name);
            Instant before = lastStopAt.getOrDefault(name, Instant.MIN);
            if (machine.address() != null
                    && stopsInFlight < MAX_STOPS_IN_FLIGHT
                    && !before.plus(STOP_RETRY_DELAY).isAfter(now)) {
                stopsInFlight++;
                lastStopAt.put(name, Instant.MAX.minus(STOP_RETRY_DELAY));
                pushes.add(new CommandBatch(
                        name, machine.address(), clusterState.fencingToken(), machine.agentEpoch(), stops, now));
            }
        });
        return pushes;
    }

    /** The command has ended, whatever became of it. */
    public void onStopOutcome(CommandBatch batch, Instant now) {
        stopsInFlight--;
        lastStopAt.computeIfPresent(batch.machine(), (name, before) -> now);
    }

    /** Takes the answer to a direct command; a report would not do, since it may be an old copy. */
    public void onCommandResponse(Heartbeat answer) {
        Set<AttemptId> live = new HashSet<>();
        answer.tasks().stream()
                .filter(task -> !task.isEnded())
                .forEach(task -> live.add(new AttemptId(task.task(), task.attempt())));
        for (RemainingAttempt left : remainingAttempts()) {
            if (left.machine().equals(answer.machine())
                    && (answer.agentEpoch() > left.agentEpoch()
                            || answer.agentEpoch() == left.agentEpoch() && !live.contains(left.id()))) {
                // What begins there later ends with the lease, which nobody renews while its start may be on its way.
                confirmedGone.add(left.id());
            }
        }
    }

    /** Machines to be returned now, since their cancelled tasks cannot be stopped otherwise. */
    public Set<String> machinesToTerminate(Instant timeOfDay) {
        Set<String> machines = new HashSet<>();
        for (RemainingAttempt left : remainingAttempts()) {
            if (!confirmedGone.contains(left.id()) && isOverdue(left.cancelledAt(), timeOfDay)) {
                machines.add(left.machine());
            }
        }
        return machines;
    }
}
