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
 * Attempts that have certainly ended and whose ends are not on record yet. The keeper of a job (its owner, or the
 * leader) records the ends of all its tasks, so that one writer changes a record and one change holds many ends.
 */
public final class CompletionBuffer implements PlanningStep {
    /** The ends of a job that goes on are on record after that, or earlier with its next placement. */
    private static final Duration LONGEST_KEPT = Duration.ofSeconds(8);

    private final ClusterState clusterState;
    private final Map<String, Waiting> byJob = new HashMap<>();

    private static final class Waiting {
        private final Instant since;
        private final Map<AttemptId, AttemptOutcome> ends = new HashMap<>();
        private final Map<AttemptId, String> machines = new HashMap<>();

        Waiting(Instant since) {
            this.since = since;
        }
    }

    public CompletionBuffer(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /**
     * Takes an attempt that has certainly ended; nothing happens if it is not on record as live, or is known already.
     */
    public void add(AttemptId attempt, AttemptOutcome end, Instant now) {
        JobRecord job = clusterState.job(attempt.task().job());
        Placement placement = job == null || contains(attempt)
                ? null
                : job.placementOf(attempt.task().index(), attempt.attempt());
        if (placement != null) {
            Waiting waiting = byJob.computeIfAbsent(attempt.task().job(), j -> new Waiting(now));
            waiting.ends.put(attempt, end);
            waiting.machines.put(attempt, placement.machine());
        }
    }

    /** Lets the commit use the room that ended attempts have left, before their ends are on record. */
    public void releaseResources(Transaction transaction) {
        byJob.forEach((id, waiting) -> {
            JobRecord job = clusterState.job(id);
            if (job != null) {
                waiting.machines.forEach((attempt, machine) -> {
                    if (clusterState.placementsOn(machine).containsKey(attempt)) {
                        transaction.releaseResources(job, machine);
                    }
                });
            }
        });
    }

    public boolean contains(AttemptId attempt) {
        Waiting waiting = byJob.get(attempt.task().job());
        return waiting != null && waiting.ends.containsKey(attempt);
    }

    /** Ends the jobs that are over with the ends known here: users wait for that. */
    public void planFinishedJobs(Transaction transaction) {
        plan(
                transaction,
                (job, waiting) -> job.isCancelled()
                        || job.completedTasks().size() + waiting.ends.size()
                                >= job.request().tasks());
    }

    /** Records the ends of jobs that go on: at once if changes are plentiful, or else when they have waited long. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        boolean surplus = context.hasSurplusChanges();
        Instant now = context.now();
        plan(
                transaction,
                (job, waiting) -> surplus || waiting.since.plus(LONGEST_KEPT).isBefore(now));
    }

    private void plan(Transaction transaction, BiPredicate<JobRecord, Waiting> due) {
        for (Iterator<Map.Entry<String, Waiting>> it = byJob.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, Waiting> entry = it.next();
            JobRecord known = clusterState.job(entry.getKey());
            JobRecord job = transaction.job(entry.getKey());
            if (known == null) {
                it.remove();
            } else if (job != null && due.test(job, entry.getValue()) && transaction.canPutJob(entry.getKey())) {
                Map<Placement, AttemptOutcome> ends = current(job, entry.getValue().ends);
                if (!ends.isEmpty()) {
                    transaction.putJob(job.withCompletions(ends));
                } else if (job == known) {
                    it.remove();
                }
            }
        }
    }

    /** Adds what is known to the records that this commit changes anyway. */
    public void addToChangedJobs(Transaction transaction) {
        byJob.forEach((id, waiting) -> {
            if (transaction.changes().get(StoreKeys.job(id)) instanceof JobRecord job
                    && transaction.hasCapacityFor(1)) {
                Map<Placement, AttemptOutcome> ends = current(job, waiting.ends);
                if (!ends.isEmpty()) {
                    transaction.putJob(job.withCompletions(ends));
                }
            }
        });
    }

    private static Map<Placement, AttemptOutcome> current(JobRecord job, Map<AttemptId, AttemptOutcome> ends) {
        Map<Placement, AttemptOutcome> current = new HashMap<>();
        for (Placement placement : job.livePlacements()) {
            AttemptOutcome end = ends.get(AttemptId.of(job, placement));
            if (end != null) {
                current.put(placement, end);
            }
        }
        return current;
    }
}
