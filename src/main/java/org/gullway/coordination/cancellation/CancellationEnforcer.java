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
 * Ends the tasks of cancelled jobs within the cancellation limit. Stopping a task is always safe and therefore needs
 * no valid lease. Each response that renews an agent's lease contains the stops, and a controller that cannot reach
 * the state store also sends them directly to the agents. A machine that does not confirm a stop is released before
 * the limit, since only the cloud provider can end a task on a machine that hangs. The records are updated later.
 */
public final class CancellationEnforcer {
    /** The last quarter of the limit is reserved for releasing the machine, which may have to be retried. */
    private static final int RELEASE_DIVISOR = 4;

    private final KnownCancellations cancellations;
    private final DirectStops directStops;
    private final Duration releaseDelay;

    /** @param cancellationLimit how long after its cancellation a job may still have tasks */
    public CancellationEnforcer(ClusterState clusterState, Duration cancellationLimit) {
        this.cancellations = new KnownCancellations(clusterState);
        this.directStops = new DirectStops(clusterState);
        this.releaseDelay = cancellationLimit.minus(cancellationLimit.dividedBy(RELEASE_DIVISOR));
    }

    /** Adds a cancelled job from a peer's list. */
    public void add(PeerCancellations.CancelledJob job, Instant now) {
        cancellations.add(job, now);
    }

    /** Adds the job of a record that was read from the state store by key, if the job is cancelled. */
    public void add(JobRecord record, Instant now) {
        cancellations.add(record, now);
    }

    /** Returns all cancelled jobs known to this controller whose tasks may still be on machines. */
    public List<PeerCancellations.CancelledJob> knownCancellations() {
        return cancellations.jobs();
    }

    /**
     * Called when this controller holds a valid lease again. From then on the records, not the responses to direct
     * stops, show which attempts are gone.
     *
     * @param knownThrough the time up to which the cluster state contains all commits
     */
    public void onLeaseRegained(Instant knownThrough) {
        directStops.reset();
        cancellations.discardReceivedBefore(knownThrough);
    }

    /** Returns stops for the cancelled tasks that a heartbeat lists as live, to be sent in its response. */
    public List<AgentCommand> stopCommands(Heartbeat heartbeat) {
        List<AgentCommand> stops = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (!task.isEnded() && cancellations.contains(task.task().job())) {
                stops.add(AgentCommand.stop(task.task(), task.attempt(), Duration.ZERO));
            }
        }
        return stops;
    }

    /**
     * Returns whether the machine may still start a cancelled task: one is on record for the machine but missing from
     * the heartbeat, so its start may still arrive.
     */
    boolean mayStillStartCancelledTask(MachineRecord machine, Heartbeat heartbeat) {
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

    /**
     * Returns whether the job's tasks should have ended by now, so that the machines on which they may run must be
     * released instead.
     *
     * @param wallClockTime the present wall-clock time
     */
    public boolean isOverdue(JobRecord job, Instant wallClockTime) {
        return job.isCancelled() && isOverdue(job.cancelledAt(), wallClockTime);
    }

    private boolean isOverdue(Instant cancelledAt, Instant wallClockTime) {
        return cancelledAt.plus(releaseDelay).isBefore(wallClockTime);
    }

    /**
     * Returns the direct stops that are due for all machines on which cancelled tasks may run, whichever controller
     * commands them. Each batch counts as in flight until {@link #onDirectStopEnded} is called for it.
     */
    public List<CommandBatch> directStopsDue(Instant now) {
        return directStops.takeDueBatches(cancellations.remainingAttempts(), now);
    }

    /** Called when a direct stop has a response or has failed without one. */
    public void onDirectStopEnded(CommandBatch batch, Instant now) {
        directStops.onBatchEnded(batch, now);
    }

    /**
     * Handles the response to a direct stop. Messages that arrived as heartbeats must not be passed to this method,
     * since they may be old duplicates.
     */
    public void onDirectStopResponse(Heartbeat response) {
        directStops.onResponse(response, cancellations.remainingAttempts());
    }

    /**
     * Returns the machines that must be released now because no response has shown in time that their cancelled tasks
     * are gone.
     *
     * @param wallClockTime the present wall-clock time
     */
    public Set<String> machinesToRelease(Instant wallClockTime) {
        Set<String> machines = new HashSet<>();
        for (RemainingAttempt attempt : cancellations.remainingAttempts()) {
            if (!directStops.isReportedGone(attempt.id()) && isOverdue(attempt.cancelledAt(), wallClockTime)) {
                machines.add(attempt.machine());
            }
        }
        return machines;
    }
}
