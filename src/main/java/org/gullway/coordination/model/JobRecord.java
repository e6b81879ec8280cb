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
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobRequest.Shape;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.protocol.Priority;

/**
 * The stored record of a job that has not ended.
 *
 * @param owner name of the controller whose queue holds the job; null for reserved jobs, which the leader places
 * @param submittedAt wall-clock time at which the job was accepted
 * @param cancelledAt wall-clock time of the cancellation, from which the cancellation limit runs; taken before any
 *     confirmation of the cancellation was sent; null if the job is not cancelled
 * @param attemptCount the highest attempt number assigned so far; the next attempt gets the next number
 * @param consecutiveErrors number of attempts that failed since a task was last completed
 * @param livePlacements placements of the attempts that may be running
 */
public record JobRecord(
        JobRequest request,
        String owner,
        Instant submittedAt,
        Instant cancelledAt,
        IntegerRanges completedTasks,
        Count attemptCount,
        int consecutiveErrors,
        List<Placement> livePlacements)
        implements StoreRecord {

    private static final Duration STALLED_AFTER = Duration.ofSeconds(100);

    /** Order of stalled jobs: jobs without a completed task first, then larger tasks first, then older jobs first. */
    public static final Comparator<JobRecord> STALLED_ORDER = Comparator.<JobRecord>comparingInt(
                    job -> job.completedTasks().size() == 0 ? 0 : 1)
            .thenComparingDouble(job -> -job.request().cpus())
            .thenComparing(JobRecord::submittedAt)
            .thenComparing(job -> job.request().id());

    /** How an attempt ended. */
    public enum AttemptOutcome {
        /** The attempt completed its task. */
        DONE,
        /** The attempt was stopped, or its machine was lost. */
        STOPPED,
        /**
         * The attempt ended with an error, which is in most cases caused by the machine. The task waits again, and
         * {@code consecutiveErrors} rises by one.
         */
        FAILED
    }

    /**
     * Whether the job is reserved, so that the leader places it: gangs, services and jobs of priority PROD or HIGH. Any
     * other job is best-effort, and its owner places it.
     */
    public static boolean isReserved(JobRequest request) {
        return request.shape() != Shape.ARRAY
                || request.priority() == Priority.PROD
                || request.priority() == Priority.HIGH;
    }

    /** The first record of an accepted job, without placements. */
    public static JobRecord accepted(JobRequest request, String owner, Instant submittedAt) {
        return new JobRecord(request, owner, submittedAt, null, IntegerRanges.EMPTY, Count.ZERO, 0, List.of());
    }

    /** Whether this job is reserved, so that the leader places it. */
    public boolean isReserved() {
        return isReserved(request);
    }

    @Override
    public int maxEncodedBytes() {
        return JobRecordSize.maxBytes(this);
    }

    /** Whether a user has cancelled the job; its tasks may still be stopping. */
    public boolean isCancelled() {
        return cancelledAt != null;
    }

    /** Whether the job ends now: all tasks are completed or, for a cancelled job, no attempt can be running. */
    public boolean isFinished() {
        return isCancelled() ? livePlacements.isEmpty() : isComplete();
    }

    private boolean isComplete() {
        return completedTasks.size() == request.tasks();
    }

    /** The state that users are shown. */
    public JobState state() {
        if (isCancelled()) {
            return JobState.CANCELLED;
        }
        if (isComplete()) {
            return JobState.DONE;
        }
        return livePlacements.isEmpty() ? JobState.PENDING : JobState.RUNNING;
    }

    /** The status that users are shown. */
    public JobStatus status() {
        return new JobStatus(request.id(), state(), completedTasks.size(), livePlacements.size());
    }

    /**
     * Whether the job has waiting tasks but no placement and was accepted more than {@link #STALLED_AFTER} ago. The
     * scheduler tries to place one task of each stalled best-effort job before any other best-effort task.
     */
    public boolean isStalledAt(Instant wallClockTime) {
        return livePlacements.isEmpty()
                && waitingTasks() > 0
                && submittedAt.plus(STALLED_AFTER).isBefore(wallClockTime);
    }

    /** Number of tasks that are neither completed nor placed; 0 for a cancelled job. */
    public int waitingTasks() {
        return isCancelled() ? 0 : Math.max(0, request.tasks() - completedTasks.size() - livePlacements.size());
    }

    /** Number of tasks still to be completed or, for a cancelled job, of attempts still to be stopped. */
    public int unfinishedTasks() {
        return isCancelled() ? livePlacements.size() : request.tasks() - completedTasks.size();
    }

    /** The live placement with this task and attempt number, or null. */
    public Placement placementOf(int task, Count attempt) {
        for (Placement placement : livePlacements) {
            if (placement.task() == task && placement.attempt().equals(attempt)) {
                return placement;
            }
        }
        return null;
    }

    /** Whether the job is a gang, whose tasks start all together or not at all. */
    public boolean isGang() {
        return request.shape() == Shape.GANG;
    }

    /**
     * This record with one new attempt on each of these machines, for the lowest-numbered tasks that are neither
     * completed nor placed. The tasks of a gang are placed together and share one attempt number.
     */
    public JobRecord withPlacements(List<MachineRecord> machines, Instant wallClockTime) {
        BitSet placedTasks = new BitSet();
        livePlacements.forEach(placement -> placedTasks.set(placement.task()));
        List<Placement> next = new ArrayList<>(livePlacements.size() + machines.size());
        next.addAll(livePlacements);
        Count attempt = attemptCount;
        int task = -1;
        for (MachineRecord machine : machines) {
            task = nextWaitingTask(task + 1, placedTasks);
            if (task >= request.tasks()) {
                throw new IllegalStateException("cannot place " + machines.size() + " tasks of job " + request.id()
                        + ": only " + waitingTasks() + " are waiting");
            }
            attempt = isGang() && attempt.isGreaterThan(attemptCount) ? attempt : attempt.next();
            next.add(new Placement(task, attempt, machine.name(), machine.agentEpoch(), false, wallClockTime));
        }
        return with(completedTasks, attempt, consecutiveErrors, List.copyOf(next));
    }

    /** The lowest-numbered task, at or after {@code from}, that is neither completed nor placed. */
    private int nextWaitingTask(int from, BitSet placedTasks) {
        int task = completedTasks.firstMissing(placedTasks.nextClearBit(from));
        while (placedTasks.get(task)) {
            task = completedTasks.firstMissing(placedTasks.nextClearBit(task + 1));
        }
        return task;
    }

    /**
     * This record without the attempts that have ended. Tasks that were not completed wait again; a service never
     * completes a task.
     *
     * @param outcomes the placements of the ended attempts, each with the outcome of its attempt
     */
    public JobRecord withoutEndedAttempts(Map<Placement, AttemptOutcome> outcomes) {
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

    /** This record with the matching live placements marked as stopping. */
    public JobRecord withStopping(Predicate<Placement> matching) {
        UnaryOperator<Placement> stop = placement -> matching.test(placement) ? placement.asStopping() : placement;
        List<Placement> next = livePlacements.stream().map(stop).toList();
        return with(completedTasks, attemptCount, consecutiveErrors, next);
    }

    private JobRecord with(IntegerRanges completed, Count attempts, int errors, List<Placement> live) {
        return new JobRecord(request, owner, submittedAt, cancelledAt, completed, attempts, errors, live);
    }

    /**
     * This record marked as cancelled; it keeps the first cancellation time, from which the cancellation limit runs.
     */
    public JobRecord withCancellation(Instant wallClockTime) {
        return isCancelled() ? this : with(owner, wallClockTime);
    }

    /** This record, owned by another controller. */
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
