package org.gullway.coordination;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobRequest.Shape;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.protocol.Rank;

/**
 * The one state record of a job that has not ended.
 *
 * @param owner controller whose queue holds the job; null for reserved-class jobs, which are the leader's
 * @param submitted time of day of the acceptance
 * @param attempts number of attempts that were placed so far, which numbers the next one
 * @param errors attempts that failed since the last one that did not
 */
public record JobRecord(JobRequest request, String owner, Instant submitted, boolean cancelled, Ranges done,
                        long attempts, int errors, List<Placement> live) {

    /** Generous size of one placement in the record, counted as the state store counts. */
    public static final int PLACEMENT_BYTES = 75;
    private static final int RANGE_BYTES = 16;
    private static final int FIXED_BYTES = 1500;

    /** The one place that says which jobs the leader books and which wait in private queues. */
    public static boolean isReserved(JobRequest request) {
        return request.shape() != Shape.ARRAY || request.rank() == Rank.PROD || request.rank() == Rank.HIGH;
    }

    public static JobRecord accepted(JobRequest request, String owner, Instant submitted) {
        return new JobRecord(request, owner, submitted, false, Ranges.EMPTY, 0, 0, List.of());
    }

    public boolean reserved() {
        return isReserved(request);
    }

    /** Upper bound of the record's size in the state store. */
    public int bytes() {
        return FIXED_BYTES + live.size() * PLACEMENT_BYTES + done.count() * RANGE_BYTES;
    }

    public boolean over() {
        return cancelled ? live.isEmpty() : done.size() == request.tasks();
    }

    public JobState state() {
        if (cancelled) {
            return JobState.CANCELLED;
        }
        if (done.size() == request.tasks()) {
            return JobState.DONE;
        }
        return live.isEmpty() ? JobState.PENDING : JobState.RUNNING;
    }

    public JobStatus status() {
        return new JobStatus(request.id(), state(), done.size(), live.size());
    }

    /** Tasks that are neither done nor placed. */
    public int waiting() {
        return cancelled ? 0 : Math.max(0, request.tasks() - done.size() - live.size());
    }

    public int unfinished() {
        return cancelled ? live.size() : request.tasks() - done.size();
    }

    /** The lowest task that is neither done nor placed, or -1. */
    public int nextWaiting() {
        if (waiting() == 0) {
            return -1;
        }
        int task = done.firstMissing(0);
        while (isLive(task)) {
            task = done.firstMissing(task + 1);
        }
        return task < request.tasks() ? task : -1;
    }

    private boolean isLive(int task) {
        for (Placement placement : live) {
            if (placement.task() == task) {
                return true;
            }
        }
        return false;
    }

    public Placement placementOf(int task, long attempt) {
        for (Placement placement : live) {
            if (placement.task() == task && placement.attempt() == attempt) {
                return placement;
            }
        }
        return null;
    }

    public boolean gang() {
        return request.shape() == Shape.GANG;
    }

    /** Records one attempt; those of a gang that are placed together carry the same number. */
    public JobRecord placed(int task, String machine, long session, Instant timeOfDay) {
        List<Placement> next = new ArrayList<>(live);
        long attempt = gang() && !live.isEmpty() ? attempts : attempts + 1;
        next.add(new Placement(task, attempt, machine, session, false, timeOfDay));
        return new JobRecord(request, owner, submitted, cancelled, done, attempt, errors, List.copyOf(next));
    }

    /** The attempt has completed its task; a service's task has none and starts anew. */
    public JobRecord completed(Placement placement) {
        if (request.shape() == Shape.SERVICE) {
            return ended(placement, false);
        }
        return new JobRecord(request, owner, submitted, cancelled, done.with(placement.task()), attempts, 0,
                without(p -> p.equals(placement)));
    }

    /** The attempt has ended without completing its task, which waits again. */
    public JobRecord ended(Placement placement, boolean failed) {
        return new JobRecord(request, owner, submitted, cancelled, done, attempts, failed ? errors + 1 : errors,
                without(p -> p.equals(placement)));
    }

    public JobRecord stopping(Predicate<Placement> which) {
        UnaryOperator<Placement> stop = p -> which.test(p) ? p.stopped() : p;
        return new JobRecord(request, owner, submitted, cancelled, done, attempts, errors,
                live.stream().map(stop).toList());
    }

    public JobRecord cancel() {
        return new JobRecord(request, owner, submitted, true, done, attempts, errors, live);
    }

    public JobRecord ownedBy(String controller) {
        return new JobRecord(request, controller, submitted, cancelled, done, attempts, errors, live);
    }

    private List<Placement> without(Predicate<Placement> which) {
        return live.stream().filter(which.negate()).toList();
    }
}
