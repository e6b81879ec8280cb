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
 * All cancellations known to this controller: those in the cluster state, and those that it received from a peer or
 * read by key before the watch has delivered them.
 */
final class KnownCancellations {
    private final ClusterState clusterState;
    /** By job; entries stay after the watch has delivered the record, and are ignored from then on. */
    private final Map<String, ReceivedCancellation> received = new LinkedHashMap<>();

    private record ReceivedCancellation(CancelledJob job, Instant receivedAt) {}

    KnownCancellations(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    boolean contains(String job) {
        return clusterState.isCancelled(job) || received.containsKey(job);
    }

    /** Adds a cancelled job that a peer has listed. */
    void merge(CancelledJob job, Instant now) {
        if (!clusterState.isCancelled(job.id())) {
            received.putIfAbsent(job.id(), new ReceivedCancellation(job, now));
        }
    }

    /** Adds the job of a record that was read by key, if it is cancelled. */
    void merge(JobRecord record, Instant now) {
        if (record.isCancelled()) {
            merge(toCancelledJob(record), now);
        }
    }

    /** Removes what was received before the cluster state had caught up, since it is contained there now. */
    void discardReceivedBefore(Instant knownThrough) {
        received.values().removeIf(each -> each.receivedAt().isBefore(knownThrough));
    }

    /** All cancelled jobs whose tasks may still be on machines. */
    List<CancelledJob> jobs() {
        List<CancelledJob> jobs = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isCancelled()) {
                jobs.add(toCancelledJob(job));
            }
        }
        jobs.addAll(notYetReplicated());
        return jobs;
    }

    /** All attempts of cancelled jobs that may still exist. */
    List<RemainingAttempt> remainingAttempts() {
        List<RemainingAttempt> remaining = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isCancelled()) {
                for (Placement placement : job.livePlacements()) {
                    addIfOnRecord(
                            remaining,
                            new RemainingAttempt(
                                    AttemptId.of(job, placement),
                                    placement.machine(),
                                    placement.agentEpoch(),
                                    job.cancelledAt()));
                }
            }
        }
        for (CancelledJob job : notYetReplicated()) {
            Instant cancelledAt = Instant.ofEpochMilli(job.cancelledAt());
            for (CancelledAttempt attempt : job.attempts()) {
                AttemptId id = new AttemptId(new TaskId(job.id(), attempt.task()), attempt.attempt());
                addIfOnRecord(
                        remaining, new RemainingAttempt(id, attempt.machine(), attempt.agentEpoch(), cancelledAt));
            }
        }
        return remaining;
    }

    /** A machine that was released, or is in a newer agent epoch, has none of its former attempts. */
    private void addIfOnRecord(List<RemainingAttempt> remaining, RemainingAttempt attempt) {
        MachineRecord machine = clusterState.machine(attempt.machine());
        if (machine != null && machine.agentEpoch() == attempt.agentEpoch()) {
            remaining.add(attempt);
        }
    }

    private List<CancelledJob> notYetReplicated() {
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
