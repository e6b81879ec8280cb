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
 * Requests that wait until a transaction has recorded what they ask for, in the order of arrival. Those for the same job
 * wait together.
 *
 * @param <T> what is to be recorded for one job
 */
final class PendingRequests<T> {
    /** Short enough that a rejected user still has time to try another controller. */
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private static final int MAX_JOBS = 500;

    private final EventLoop loop;
    private final Map<String, Entry<T>> entries = new LinkedHashMap<>();

    /** The requests for one job, and when the first of them arrived. */
    private record Entry<T>(T change, Instant arrivedAt, List<UserRequest> requests) {}

    PendingRequests(EventLoop loop) {
        this.loop = loop;
    }

    boolean isFull() {
        return entries.size() >= MAX_JOBS;
    }

    /** Adds a request; the first one for a job determines what is to be recorded. */
    void add(String job, UserRequest request, Supplier<T> change) {
        entries.computeIfAbsent(job, id -> new Entry<>(change.get(), loop.now(), new ArrayList<>()))
                .requests()
                .add(request);
    }

    /** What is to be recorded, in the order of arrival. */
    List<T> changes() {
        List<T> changes = new ArrayList<>(entries.size());
        for (Entry<T> entry : entries.values()) {
            changes.add(entry.change());
        }
        return changes;
    }

    /** The jobs for which requests wait, as a copy. */
    Collection<String> jobs() {
        return List.copyOf(entries.keySet());
    }

    /** Removes and returns the requests for a job; none if none wait. */
    List<UserRequest> remove(String job) {
        Entry<T> entry = entries.remove(job);
        return entry == null ? List.of() : entry.requests();
    }

    /**
     * Completes the requests that can be completed, and rejects the others after their timeout.
     *
     * @param holdsValidLease whether this controller can still record anything; if not, nothing goes on waiting
     * @param completion how to complete the requests for a job; empty while they have to wait
     */
    void complete(boolean holdsValidLease, Function<T, Optional<Consumer<UserRequest>>> completion) {
        Instant now = loop.now();
        for (String job : jobs()) {
            Entry<T> entry = entries.get(job);
            Optional<Consumer<UserRequest>> action = completion.apply(entry.change());
            if (action.isPresent()) {
                remove(job).forEach(action.get());
            } else if (!holdsValidLease || entry.arrivedAt().plus(TIMEOUT).isBefore(now)) {
                remove(job).forEach(UserResponses::rejectTemporarily);
            }
        }
    }
}
