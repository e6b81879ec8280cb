package org.gullway.coordination.cancellation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.PeerCancellations;
import org.gullway.protocol.TaskStatus;

/**
 * Ends the tasks of cancelled jobs within the cancellation limit. Stopping them is always safe, so it needs no valid
 * lease: each heartbeat response carries the stops, and a controller that has lost the state store also sends them
 * directly. A machine that does not confirm a stop is released before the limit, since only the cloud can end a task on
 * a machine that hangs; the records follow later.
 */
public final class CancellationEnforcer {
    /** The last quarter of the limit is kept for the release of the machine, which may have to be retried. */
    private static final int RELEASE_DIVISOR = 4;

    private final KnownCancellations cancellations;
    private final DirectStops directStops;
    private final Duration releaseDelay;

    /** @param cancelLimit how long after its cancellation a job may still have tasks */
    public CancellationEnforcer(ClusterState clusterState, Duration cancelLimit) {
        this.cancellations = new KnownCancellations(clusterState);
        this.directStops = new DirectStops(clusterState);
        this.releaseDelay = cancelLimit.minus(cancelLimit.dividedBy(RELEASE_DIVISOR));
    }

    /** Adds a cancelled job that a peer has listed. */
    public void merge(PeerCancellations.CancelledJob job, Instant now) {
        cancellations.merge(job, now);
    }

    /** Adds the job of a record that was read by key, if it is cancelled. */
    public void merge(JobRecord record, Instant now) {
        cancellations.merge(record, now);
    }

    /** All cancelled jobs known here whose tasks may still be on machines. */
    public List<PeerCancellations.CancelledJob> knownCancellations() {
        return cancellations.jobs();
    }

    /**
     * Called when this controller holds a valid lease again: from then on the records say which attempts are gone.
     *
     * @param knownThrough the moment up to which all commits are contained in the cluster state
     */
    public void onLeaseRegained(Instant knownThrough) {
        directStops.reset();
        cancellations.discardReceivedBefore(knownThrough);
    }

    /** Stops for the cancelled tasks that a heartbeat lists as live, for its response. */
    public List<AgentCommand> stopCommands(Heartbeat heartbeat) {
        List<AgentCommand> stops = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (!task.isEnded() && cancellations.contains(task.task().job())) {
                stops.add(AgentCommand.stop(task.task(), task.attempt(), Duration.ZERO));
            }
        }
        return stops;
    }

    /** Whether a cancelled task is on record there that the agent does not list, so that its start may yet arrive. */
    boolean mayReceiveCancelledStart(MachineRecord machine, Heartbeat heartbeat) {
        Set<AttemptId> listed = new HashSet<>();
        for (TaskStatus task : heartbeat.tasks()) {
            listed.add(new AttemptId(task.task(), task.attempt()));
        }
        for (RemainingAttempt attempt : cancellations.remainingAttempts()) {
            if (attempt.machine().equals(machine.name()) && !listed.contains(attempt.id())) {
                return true;
            }
        }
        return false;
    }

    /** Whether a task of this job should have been gone by now, so that its machine has to be released instead. */
    public boolean isOverdue(JobRecord job, Instant timeOfDay) {
        return job.isCancelled() && isOverdue(job.cancelledAt(), timeOfDay);
    }

    private boolean isOverdue(Instant cancelledAt, Instant timeOfDay) {
        return cancelledAt.plus(releaseDelay).isBefore(timeOfDay);
    }

    /** Direct stops for all machines on which cancelled tasks may be, whichever controller commands them. */
    public List<CommandBatch> directStopsDue(Instant now) {
        return directStops.takeDueBatches(cancellations.remainingAttempts(), now);
    }

    /** Called when a direct stop has ended, with or without a response. */
    public void onDirectStopEnded(CommandBatch batch, Instant now) {
        directStops.onBatchEnded(batch, now);
    }

    /** Takes the response to a direct command; a heartbeat would not do, since it may be an old copy. */
    public void onDirectStopResponse(Heartbeat response) {
        directStops.onResponse(response, cancellations.remainingAttempts());
    }

    /** Machines to be released now, since their cancelled tasks cannot be stopped otherwise. */
    public Set<String> machinesToRelease(Instant timeOfDay) {
        Set<String> machines = new HashSet<>();
        for (RemainingAttempt attempt : cancellations.remainingAttempts()) {
            if (!directStops.isConfirmedGone(attempt.id()) && isOverdue(attempt.cancelledAt(), timeOfDay)) {
                machines.add(attempt.machine());
            }
        }
        return machines;
    }
}
