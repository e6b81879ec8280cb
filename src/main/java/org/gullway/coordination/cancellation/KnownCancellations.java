package org.gullway.coordination.cancellation;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.protocol.PeerCancellations.CancelledAttempt;
import org.gullway.protocol.PeerCancellations.CancelledJob;
import org.gullway.protocol.TaskId;

/**
 * All cancellations known to this controller: those in the cluster state, and those that were received from a peer or
 * read from the state store by key before the watch delivered them.
 */
final class KnownCancellations {
    private final ClusterState clusterState;
    /**
     * By job. After the watch has delivered the job's record, {@link #jobs} and {@link #remainingAttempts} ignore the
     * entry. {@link #discardReceivedBefore} removes it.
     */
    private final Map<String, ReceivedCancellation> received = new LinkedHashMap<>();

    private record ReceivedCancellation(CancelledJob job, Instant receivedAt) {}

    KnownCancellations(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    boolean contains(String job) {
        return clusterState.isCancelled(job) || received.containsKey(job);
    }

    /** Adds a cancelled job from a peer's list. */
    void add(CancelledJob job, Instant now) {
        if (!clusterState.isCancelled(job.id())) {
            received.putIfAbsent(job.id(), new ReceivedCancellation(job, now));
        }
    }

    /** Adds the job of a record that was read from the state store by key, if the job is cancelled. */
    void add(JobRecord record, Instant now) {
        if (record.isCancelled()) {
            add(toCancelledJob(record), now);
        }
    }

    /** Removes cancellations that were received before this time, since the cluster state contains them by now. */
    void discardReceivedBefore(Instant knownThrough) {
        received.values().removeIf(each -> each.receivedAt().isBefore(knownThrough));
    }

    /** Returns all cancelled jobs whose tasks may still be on machines. */
    List<CancelledJob> jobs() {
        List<CancelledJob> jobs = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isCancelled()) {
                jobs.add(toCancelledJob(job));
            }
        }
        jobs.addAll(notYetDelivered());
        return jobs;
    }

    /** Returns the attempts of cancelled jobs that may still exist and whose agent epochs are on record. */
    List<RemainingAttempt> remainingAttempts() {
        List<RemainingAttempt> remaining = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isCancelled()) {
                for (Placement placement : job.livePlacements()) {
                    addIfInCurrentEpoch(
                            remaining,
                            new RemainingAttempt(
                                    AttemptId.of(job, placement),
                                    placement.machine(),
                                    placement.agentEpoch(),
                                    job.cancelledAt()));
                }
            }
        }
        for (CancelledJob job : notYetDelivered()) {
            Instant cancelledAt = Instant.ofEpochMilli(job.cancelledAt());
            for (CancelledAttempt attempt : job.attempts()) {
                AttemptId id = new AttemptId(new TaskId(job.id(), attempt.task()), attempt.attempt());
                addIfInCurrentEpoch(
                        remaining, new RemainingAttempt(id, attempt.machine(), attempt.agentEpoch(), cancelledAt));
            }
        }
        return remaining;
    }

    /**
     * Adds the attempt if its machine is on record in the attempt's agent epoch. If the machine was released or is in a
     * newer epoch, the attempt has ended, since a new epoch ends all earlier attempts. A peer's list may also contain
     * an attempt whose machine or agent epoch is not in this controller's cluster state yet. Such an attempt may still
     * exist, but its agent would not execute a direct stop sent in the epoch on record. Without a valid lease, this
     * controller does not renew the lease of an agent whose epoch is not on record (see {@link LeaseRenewalPolicy}).
     */
    private void addIfInCurrentEpoch(List<RemainingAttempt> remaining, RemainingAttempt attempt) {
        MachineRecord machine = clusterState.machine(attempt.machine());
        if (machine != null && machine.agentEpoch().equals(attempt.agentEpoch())) {
            remaining.add(attempt);
        }
    }

    private List<CancelledJob> notYetDelivered() {
        List<CancelledJob> jobs = new ArrayList<>();
        received.forEach((id, cancellation) -> {
            if (!clusterState.isCancelled(id)) {
                jobs.add(cancellation.job());
            }
        });
        return jobs;
    }

    private static CancelledJob toCancelledJob(JobRecord job) {
        return new CancelledJob(
                job.request().id(),
                job.cancelledAt().toEpochMilli(),
                job.livePlacements().stream()
                        .map(placement -> new CancelledAttempt(
                                placement.task(), placement.attempt(), placement.machine(), placement.agentEpoch()))
                        .toList());
    }
}
