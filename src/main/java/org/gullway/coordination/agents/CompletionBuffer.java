package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiPredicate;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.JobRecord.AttemptOutcome;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/**
 * Buffers attempts that have certainly ended until their completions are on record. A completion is the end of an
 * attempt with any outcome. Normally one controller, the record writer, records all completions of a job: the leader
 * for a reserved job, otherwise the job's owner. So a record has one writer, and one change holds many completions. If
 * the record writer takes too long, the controller that observed the completion records it, see {@link
 * CompletionReporter}.
 */
public final class CompletionBuffer implements PlanningStep {
    /**
     * Time after which the completions of an unfinished job are recorded even without spare capacity. They are
     * recorded earlier if the job's record changes anyway, for example with its next placement.
     */
    private static final Duration MAX_DELAY = Duration.ofSeconds(8);

    private final ClusterState clusterState;
    private final Map<String, PendingCompletions> pendingByJob = new HashMap<>();

    private static final class PendingCompletions {
        private final Instant firstAddedAt;
        private final Map<AttemptId, AttemptOutcome> outcomes = new HashMap<>();
        private final Map<AttemptId, String> machines = new HashMap<>();

        PendingCompletions(Instant firstAddedAt) {
            this.firstAddedAt = firstAddedAt;
        }
    }

    public CompletionBuffer(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /**
     * Adds an attempt that has certainly ended. Does nothing if the job's record does not list the attempt as live, or
     * if the attempt is already buffered.
     */
    public void add(AttemptId attempt, AttemptOutcome outcome, Instant now) {
        JobRecord job = clusterState.job(attempt.task().job());
        if (job == null || contains(attempt)) {
            return;
        }
        Placement placement = job.placementOf(attempt.task().index(), attempt.attempt());
        if (placement != null) {
            PendingCompletions pending =
                    pendingByJob.computeIfAbsent(attempt.task().job(), id -> new PendingCompletions(now));
            pending.outcomes.put(attempt, outcome);
            pending.machines.put(attempt, placement.machine());
        }
    }

    /**
     * Frees the resources of buffered attempts in the transaction, so that it can place other tasks on them before the
     * completions are on record.
     */
    public void releaseResources(Transaction transaction) {
        pendingByJob.forEach((id, pending) -> {
            JobRecord job = clusterState.job(id);
            if (job != null) {
                pending.machines.forEach((attempt, machine) -> {
                    if (clusterState.placementsOn(machine).containsKey(attempt)) {
                        transaction.releaseResources(job, machine);
                    }
                });
            }
        });
    }

    /** Returns whether the attempt's completion is in this buffer. */
    public boolean contains(AttemptId attempt) {
        PendingCompletions pending = pendingByJob.get(attempt.task().job());
        return pending != null && pending.outcomes.containsKey(attempt);
    }

    /**
     * Records the completions of cancelled jobs, and of jobs that may be finished once their buffered completions are
     * recorded. Users wait for these jobs.
     */
    public void planFinishedJobs(Transaction transaction) {
        plan(
                transaction,
                (job, pending) -> job.isCancelled()
                        || job.completedTasks().size() + pending.outcomes.size()
                                >= job.request().tasks());
    }

    /**
     * Records the completions of unfinished jobs: at once if the store's rate limit has spare capacity, otherwise
     * after {@link #MAX_DELAY}.
     */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        boolean spareWriteCapacity = context.hasSpareWriteCapacity();
        Instant now = context.now();
        plan(
                transaction,
                (job, pending) -> spareWriteCapacity
                        || pending.firstAddedAt.plus(MAX_DELAY).isBefore(now));
    }

    // An entry is removed only if the committed record, not one that this transaction changes, lists none of its
    // attempts as live. An unchanged record is the same instance in the cluster state and in the transaction.
    // Comparing the values would cost as much as recording the change.
    @SuppressWarnings("ReferenceEquality")
    private void plan(Transaction transaction, BiPredicate<JobRecord, PendingCompletions> due) {
        Iterator<Map.Entry<String, PendingCompletions>> entries =
                pendingByJob.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, PendingCompletions> entry = entries.next();
            String id = entry.getKey();
            PendingCompletions pending = entry.getValue();
            JobRecord known = clusterState.job(id);
            JobRecord planned = transaction.job(id);
            if (known == null) {
                entries.remove();
            } else if (planned != null && due.test(planned, pending) && transaction.canPutJob(id)) {
                boolean recorded = putCompletions(transaction, planned, pending);
                if (!recorded && planned == known) {
                    entries.remove();
                }
            }
        }
    }

    /** Adds buffered completions to the job records that the transaction changes anyway. */
    public void addToChangedJobs(Transaction transaction) {
        pendingByJob.forEach((id, pending) -> {
            if (transaction.changes().get(StoreKeys.job(id)) instanceof JobRecord job
                    && transaction.hasCapacityFor(1)) {
                putCompletions(transaction, job, pending);
            }
        });
    }

    /** Records the completions whose attempts the job still lists as live. Returns false if there are none. */
    private static boolean putCompletions(Transaction transaction, JobRecord job, PendingCompletions pending) {
        Map<Placement, AttemptOutcome> completions = new HashMap<>();
        for (Placement placement : job.livePlacements()) {
            AttemptOutcome outcome = pending.outcomes.get(AttemptId.of(job, placement));
            if (outcome != null) {
                completions.put(placement, outcome);
            }
        }
        if (completions.isEmpty()) {
            return false;
        }
        transaction.putJob(job.withoutEndedAttempts(completions));
        return true;
    }
}
