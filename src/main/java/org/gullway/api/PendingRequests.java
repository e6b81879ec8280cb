package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gullway.transport.EventLoop;

/**
 * Requests of users that wait until a transaction has committed the requested change, grouped by job and in the order
 * of arrival.
 *
 * @param <T> the change to be committed for one job
 */
final class PendingRequests<T> {
    /**
     * Time after which all pending requests for a job are rejected, counted from the first of them. It is short enough
     * that the users can still try another controller.
     */
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private static final int MAX_JOBS = 500;

    private final EventLoop loop;
    private final Map<String, Entry<T>> entries = new LinkedHashMap<>();

    /**
     * The pending requests for one job.
     *
     * @param arrivedAt when the first of the requests arrived
     */
    private record Entry<T>(T change, Instant arrivedAt, List<UserRequest> requests) {}

    PendingRequests(EventLoop loop) {
        this.loop = loop;
    }

    boolean isFull() {
        return entries.size() >= MAX_JOBS;
    }

    /**
     * Adds a request.
     *
     * @param change supplies the change to be committed; called only for the first pending request for the job
     */
    void add(String jobId, UserRequest request, Supplier<T> change) {
        entries.computeIfAbsent(jobId, id -> new Entry<>(change.get(), loop.now(), new ArrayList<>()))
                .requests()
                .add(request);
    }

    /** Returns the changes to be committed, one for each job, in the order of arrival. */
    List<T> changes() {
        List<T> changes = new ArrayList<>(entries.size());
        for (Entry<T> entry : entries.values()) {
            changes.add(entry.change());
        }
        return changes;
    }

    /** Returns a copy of the ids of all jobs that have pending requests. */
    Collection<String> jobIds() {
        return List.copyOf(entries.keySet());
    }

    /** Removes and returns the pending requests for a job; the list is empty if there are none. */
    List<UserRequest> remove(String jobId) {
        Entry<T> entry = entries.remove(jobId);
        return entry == null ? List.of() : entry.requests();
    }

    /**
     * Completes the requests whose outcome is known. Rejects the others after their timeout, or immediately if this
     * controller holds no valid lease.
     *
     * @param holdsValidLease whether this controller holds a valid lease and can commit changes
     * @param completion returns the action that completes each request for a job, or empty while they have to wait
     */
    void complete(boolean holdsValidLease, Function<T, Optional<Consumer<UserRequest>>> completion) {
        Instant now = loop.now();
        for (String jobId : jobIds()) {
            Entry<T> entry = entries.get(jobId);
            Optional<Consumer<UserRequest>> action = completion.apply(entry.change());
            if (action.isPresent()) {
                remove(jobId).forEach(action.get());
            } else if (!holdsValidLease || entry.arrivedAt().plus(TIMEOUT).isBefore(now)) {
                remove(jobId).forEach(UserResponses::rejectTemporarily);
            }
        }
    }
}
