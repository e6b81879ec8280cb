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
 * The one record of a job that has not ended.
 *
 * @param owner controller whose queue holds the job; null for reserved jobs, which are the leader's
 * @param submittedAt time of day of the acceptance
 * @param cancelledAt time of day before the cancellation was confirmed to anybody; null if the job is not cancelled
 * @param attemptCount number of attempts that were placed so far, which numbers the next one
 * @param consecutiveErrors attempts that failed since the last one that did not
 * @param livePlacements attempts that may be on machines
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

    /** Upper bound for one placement's part of the record, counted as the state store counts. */
    public static final int PLACEMENT_BYTES = 36;

    private static final Duration STALLED_AFTER = Duration.ofSeconds(100);
    /** Upper bound for one range of completed tasks. */
    private static final int RANGE_BYTES = 10;
    /** Upper bound for all fields of fixed size. */
    private static final int FIXED_BYTES = 1500;

    /** Order of stalled jobs: first those without a completed task, then the largest task, then the oldest. */
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
        /** It failed, mostly because of its machine. */
        FAILED
    }

    /** Whether the leader places the job; the others wait in the queues of their owners. */
    public static boolean isReserved(JobRequest request) {
        return request.shape() != Shape.ARRAY
                || request.priority() == Priority.PROD
                || request.priority() == Priority.HIGH;
    }

    /** A job that has just been accepted, without any placement. */
    public static JobRecord accepted(JobRequest request, String owner, Instant submittedAt) {
        return new JobRecord(request, owner, submittedAt, null, IntegerRanges.EMPTY, 0, 0, List.of());
    }

    /** Whether the leader places this job. */
    public boolean isReserved() {
        return isReserved(request);
    }

    @Override
    public int maxEncodedBytes() {
        return FIXED_BYTES + livePlacements.size() * PLACEMENT_BYTES + completedTasks.rangeCount() * RANGE_BYTES;
    }

    /** Whether a user has cancelled the job; its tasks may still be stopping. */
    public boolean isCancelled() {
        return cancelledAt != null;
    }

    /** Whether nothing is left to do: no task remains to be run or, if cancelled, to be stopped. */
    public boolean isFinished() {
        return isCancelled() ? livePlacements.isEmpty() : isComplete();
    }

    private boolean isComplete() {
        return completedTasks.size() == request.tasks();
    }

    /** The state as users see it. */
    public JobState state() {
        if (isCancelled()) {
            return JobState.CANCELLED;
        }
        if (isComplete()) {
            return JobState.DONE;
        }
        return livePlacements.isEmpty() ? JobState.PENDING : JobState.RUNNING;
    }

    /** The status as users see it. */
    public JobStatus status() {
        return new JobStatus(request.id(), state(), completedTasks.size(), livePlacements.size());
    }

    /** Whether no task is placed although the job was accepted long ago: it then gets one task before all others. */
    public boolean isStalledAt(Instant timeOfDay) {
        return livePlacements.isEmpty()
                && waitingTasks() > 0
                && submittedAt.plus(STALLED_AFTER).isBefore(timeOfDay);
    }

    /** Tasks that are neither completed nor placed. */
    public int waitingTasks() {
        return isCancelled() ? 0 : Math.max(0, request.tasks() - completedTasks.size() - livePlacements.size());
    }

    /** Tasks that are still to be completed, or for a cancelled job to be stopped. */
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

    /** Whether the tasks start only all together. */
    public boolean isGang() {
        return request.shape() == Shape.GANG;
    }

    /**
     * Records one attempt on each of these machines, for the lowest tasks that are neither completed nor placed. Those
     * of a gang, which are placed together, carry the same number.
     */
    public JobRecord withPlacements(List<MachineRecord> machines, Instant timeOfDay) {
        BitSet placedTasks = new BitSet();
        livePlacements.forEach(placement -> placedTasks.set(placement.task()));
        List<Placement> next = new ArrayList<>(livePlacements.size() + machines.size());
        next.addAll(livePlacements);
        long attempt = attemptCount;
        int task = -1;
        for (MachineRecord machine : machines) {
            task = nextWaitingTask(task + 1, placedTasks);
            if (task >= request.tasks()) {
                throw new IllegalStateException("more placements than waiting tasks of job " + request.id());
            }
            attempt = isGang() && attempt > attemptCount ? attempt : attempt + 1;
            next.add(new Placement(task, attempt, machine.name(), machine.agentEpoch(), false, timeOfDay));
        }
        return with(completedTasks, attempt, consecutiveErrors, List.copyOf(next));
    }

    /** The lowest task from {@code from} on that is neither completed nor placed. */
    private int nextWaitingTask(int from, BitSet placedTasks) {
        int task = completedTasks.firstMissing(placedTasks.nextClearBit(from));
        while (placedTasks.get(task)) {
            task = completedTasks.firstMissing(placedTasks.nextClearBit(task + 1));
        }
        return task;
    }

    /** How many more placements the record can hold. */
    public int remainingPlacements(int valueBytes) {
        return Math.max(0, (valueBytes - maxEncodedBytes()) / PLACEMENT_BYTES);
    }

    /** Records how attempts ended; a task that is not completed by it waits again. A service is never complete. */
    public JobRecord withCompletions(Map<Placement, AttemptOutcome> outcomes) {
        IntegerRanges nextCompleted = completedTasks;
        int nextErrors = consecutiveErrors;
        List<Placement> remaining = new ArrayList<>(livePlacements.size());
        for (Placement placement : livePlacements) {
            AttemptOutcome outcome = outcomes.get(placement);
            if (outcome == null) {
                remaining.add(placement);
            } else if (outcome == AttemptOutcome.DONE && request.shape() != Shape.SERVICE) {
                nextCompleted = nextCompleted.with(placement.task());
                nextErrors = 0;
            } else if (outcome == AttemptOutcome.FAILED) {
                nextErrors++;
            }
        }
        return with(nextCompleted, attemptCount, nextErrors, List.copyOf(remaining));
    }

    /** This record with the matching live attempts marked as being stopped. */
    public JobRecord withStopping(Predicate<Placement> matching) {
        UnaryOperator<Placement> stop = placement -> matching.test(placement) ? placement.asStopping() : placement;
        List<Placement> next = livePlacements.stream().map(stop).toList();
        return with(completedTasks, attemptCount, consecutiveErrors, next);
    }

    private JobRecord with(IntegerRanges completed, long attempts, int errors, List<Placement> live) {
        return new JobRecord(request, owner, submittedAt, cancelledAt, completed, attempts, errors, live);
    }

    /** The first cancellation counts: from it on the limit runs for the job's tasks to be gone. */
    public JobRecord withCancellation(Instant timeOfDay) {
        return isCancelled() ? this : with(owner, timeOfDay);
    }

    /** This record in the queue of another controller. */
    public JobRecord withOwner(String controller) {
        return with(controller, cancelledAt);
    }

    private JobRecord with(String newOwner, Instant newCancelledAt) {
        return new JobRecord(
                request,
                newOwner,
                submittedAt,
                newCancelledAt,
                completedTasks,
                attemptCount,
                consecutiveErrors,
                livePlacements);
    }
}
