package org.gullway.coordination.model;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobRequest.Shape;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.protocol.Priority;

/**
 * The one state record of a job that has not ended.
 *
 * @param owner controller whose queue holds the job; null for reserved-class jobs, which are the leader's
 * @param submitted time of day of the acceptance
 * @param cancelledAt time of day before the cancellation was confirmed to anybody; null if the job is not cancelled
 * @param attempts number of attempts that were placed so far, which numbers the next one
 * @param errors attempts that failed since the last one that did not
 */
public record JobRecord(
        JobRequest request,
        String owner,
        Instant submittedAt,
        Instant cancelledAt,
        IntegerRanges completedTasks,
        long attemptCount,
        int consecutiveErrors,
        List<Placement> livePlacements)
        implements StoreRecord {

    /** Generous size of one placement in the record, counted as the state store counts. */
    public static final int PLACEMENT_BYTES = 36;

    private static final Duration STALLED_AFTER = Duration.ofSeconds(100);
    private static final int RANGE_BYTES = 10;
    private static final int FIXED_BYTES = 1500;

    /** Which of the jobs that stall comes first: one that has not begun, then the largest task, then the oldest. */
    public static final Comparator<JobRecord> STALLED_ORDER = Comparator.<JobRecord>comparingInt(
                    job -> job.completedTasks().size() == 0 ? 0 : 1)
            .thenComparingDouble(job -> -job.request().cpus())
            .thenComparing(JobRecord::submittedAt)
            .thenComparing(job -> job.request().id());

    /** How an attempt ended. */
    public enum AttemptOutcome {
        /** Its task is complete. */
        DONE,
        /** It was stopped, or its machine was lost. */
        STOPPED,
        FAILED
    }

    /** The one place that says which jobs the leader books and which wait in private queues. */
    public static boolean isReserved(JobRequest request) {
        return request.shape() != Shape.ARRAY
                || request.priority() == Priority.PROD
                || request.priority() == Priority.HIGH;
    }

    public static JobRecord accepted(JobRequest request, String owner, Instant submitted) {
        return new JobRecord(request, owner, submitted, null, IntegerRanges.EMPTY, 0, 0, List.of());
    }

    public boolean isReserved() {
        return isReserved(request);
    }

    /** Upper bound of the record's size in the state store. */
    @Override
    public int maxEncodedBytes() {
        return FIXED_BYTES + livePlacements.size() * PLACEMENT_BYTES + completedTasks.count() * RANGE_BYTES;
    }

    public boolean isCancelled() {
        return cancelledAt != null;
    }

    public boolean isFinished() {
        return isCancelled() ? livePlacements.isEmpty() : completedTasks.size() == request.tasks();
    }

    /** The state that users are told. */
    public JobState state() {
        if (isCancelled()) {
            return JobState.CANCELLED;
        }
        if (completedTasks.size() == request.tasks()) {
            return JobState.DONE;
        }
        return livePlacements.isEmpty() ? JobState.PENDING : JobState.RUNNING;
    }

    public JobStatus status() {
        return new JobStatus(request.id(), state(), completedTasks.size(), livePlacements.size());
    }

    /** Whether no task runs although the job was accepted long ago: it then gets one task before all others. */
    public boolean isStalledAt(Instant timeOfDay) {
        return livePlacements.isEmpty()
                && waitingTasks() > 0
                && submittedAt.plus(STALLED_AFTER).isBefore(timeOfDay);
    }

    /** Tasks that are neither done nor placed. */
    public int waitingTasks() {
        return isCancelled() ? 0 : Math.max(0, request.tasks() - completedTasks.size() - livePlacements.size());
    }

    public int unfinishedTasks() {
        return isCancelled() ? livePlacements.size() : request.tasks() - completedTasks.size();
    }

    /** The placement of a live attempt, or null if it is not on record. */
    public Placement placementOf(int task, long attempt) {
        for (Placement placement : livePlacements) {
            if (placement.task() == task && placement.attempt() == attempt) {
                return placement;
            }
        }
        return null;
    }

    public boolean isGang() {
        return request.shape() == Shape.GANG;
    }

    /**
     * Records one attempt on each of these machines, for the lowest tasks that are neither done nor placed. Those of
     * a gang, which are placed together, carry the same number.
     */
    public JobRecord withPlacements(List<MachineRecord> machines, Instant timeOfDay) {
        BitSet taken = new BitSet();
        livePlacements.forEach(p -> taken.set(p.task()));
        List<Placement> next = new ArrayList<>(livePlacements.size() + machines.size());
        next.addAll(livePlacements);
        long attempt = attemptCount;
        int task = -1;
        for (MachineRecord machine : machines) {
            do {
                task = completedTasks.firstMissing(taken.nextClearBit(task + 1));
            } while (taken.get(task));
            if (task >= request.tasks()) {
                throw new IllegalStateException("more placements than waiting tasks of " + request.id());
            }
            attempt = isGang() && attempt > attemptCount ? attempt : attempt + 1;
            next.add(new Placement(task, attempt, machine.name(), machine.agentEpoch(), false, timeOfDay));
        }
        return new JobRecord(
                request,
                owner,
                submittedAt,
                cancelledAt,
                completedTasks,
                attempt,
                consecutiveErrors,
                List.copyOf(next));
    }

    /** How many more attempts the record has room for. */
    public int remainingPlacements(int valueBytes) {
        return Math.max(0, (valueBytes - maxEncodedBytes()) / PLACEMENT_BYTES);
    }

    /** Records the ends of attempts; what did not complete its task waits again. A service has no end of its own. */
    public JobRecord withCompletions(Map<Placement, AttemptOutcome> ends) {
        IntegerRanges nextDone = completedTasks;
        int nextErrors = consecutiveErrors;
        List<Placement> left = new ArrayList<>(livePlacements.size());
        for (Placement placement : livePlacements) {
            AttemptOutcome end = ends.get(placement);
            if (end == null) {
                left.add(placement);
            } else if (end == AttemptOutcome.DONE && request.shape() != Shape.SERVICE) {
                nextDone = nextDone.with(placement.task());
                nextErrors = 0;
            } else if (end == AttemptOutcome.FAILED) {
                nextErrors++;
            }
        }
        return new JobRecord(
                request, owner, submittedAt, cancelledAt, nextDone, attemptCount, nextErrors, List.copyOf(left));
    }

    /** This record with the matching live attempts marked as being stopped. */
    public JobRecord withStopping(Predicate<Placement> which) {
        UnaryOperator<Placement> stop = p -> which.test(p) ? p.asStopping() : p;
        return new JobRecord(
                request,
                owner,
                submittedAt,
                cancelledAt,
                completedTasks,
                attemptCount,
                consecutiveErrors,
                livePlacements.stream().map(stop).toList());
    }

    /** The first cancellation counts: from it on the limit runs for the job's tasks to be gone. */
    public JobRecord withCancellation(Instant timeOfDay) {
        return isCancelled()
                ? this
                : new JobRecord(
                        request,
                        owner,
                        submittedAt,
                        timeOfDay,
                        completedTasks,
                        attemptCount,
                        consecutiveErrors,
                        livePlacements);
    }

    /** This record in the queue of another controller. */
    public JobRecord withOwner(String controller) {
        return new JobRecord(
                request,
                controller,
                submittedAt,
                cancelledAt,
                completedTasks,
                attemptCount,
                consecutiveErrors,
                livePlacements);
    }
}
