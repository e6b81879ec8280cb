package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiPredicate;
import org.gullway.coordination.JobRecord.End;

/**
 * Attempts that have certainly ended and whose ends are not on record yet. The keeper of a job (its owner, or the
 * leader) records the ends of all its tasks, so that one writer changes a record and one change holds many ends.
 */
public final class EndedAttempts {
    /** The ends of a job that goes on are on record after that, or earlier with its next placement. */
    private static final Duration LONGEST_KEPT = Duration.ofSeconds(8);

    private final ClusterView view;
    private final Map<String, Waiting> byJob = new HashMap<>();

    private static final class Waiting {
        private final Instant since;
        private final Map<AttemptId, End> ends = new HashMap<>();
        private final Map<AttemptId, String> machines = new HashMap<>();

        Waiting(Instant since) {
            this.since = since;
        }
    }

    public EndedAttempts(ClusterView view) {
        this.view = view;
    }

    /**
     * Takes an attempt that has certainly ended; nothing happens if it is not on record as live, or is known already.
     */
    public void add(AttemptId attempt, End end, Instant now) {
        JobRecord job = view.job(attempt.task().job());
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
    public void credit(Transaction draft) {
        byJob.forEach((id, waiting) -> {
            JobRecord job = view.job(id);
            if (job != null) {
                waiting.machines.forEach((attempt, machine) -> {
                    if (view.placementsOn(machine).containsKey(attempt)) {
                        draft.credit(job, machine);
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
    public void finish(Transaction draft) {
        propose(
                draft,
                (job, waiting) -> job.cancelled()
                        || job.done().size() + waiting.ends.size()
                                >= job.request().tasks());
    }

    /** Records the ends of jobs that go on: at once if changes are plentiful, or else when they have waited long. */
    public void propose(Transaction draft, boolean plenty, Instant now) {
        propose(
                draft,
                (job, waiting) -> plenty || waiting.since.plus(LONGEST_KEPT).isBefore(now));
    }

    private void propose(Transaction draft, BiPredicate<JobRecord, Waiting> due) {
        for (Iterator<Map.Entry<String, Waiting>> it = byJob.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, Waiting> entry = it.next();
            JobRecord known = view.job(entry.getKey());
            JobRecord job = draft.job(entry.getKey());
            if (known == null) {
                it.remove();
            } else if (job != null && due.test(job, entry.getValue()) && draft.canPutJob(entry.getKey())) {
                Map<Placement, End> ends = current(job, entry.getValue().ends);
                if (!ends.isEmpty()) {
                    draft.putJob(job.ended(ends));
                } else if (job == known) {
                    it.remove();
                }
            }
        }
    }

    /** Adds what is known to the records that this commit changes anyway. */
    public void join(Transaction draft) {
        byJob.forEach((id, waiting) -> {
            if (draft.changes().get(Keys.job(id)) instanceof JobRecord job && draft.hasRoomFor(1)) {
                Map<Placement, End> ends = current(job, waiting.ends);
                if (!ends.isEmpty()) {
                    draft.putJob(job.ended(ends));
                }
            }
        });
    }

    private static Map<Placement, End> current(JobRecord job, Map<AttemptId, End> ends) {
        Map<Placement, End> current = new HashMap<>();
        for (Placement placement : job.live()) {
            End end = ends.get(AttemptId.of(job, placement));
            if (end != null) {
                current.put(placement, end);
            }
        }
        return current;
    }
}
