package org.gullway.api;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;

/**
 * Looks up jobs in the state store that are missing from the cluster state or stale there. Lookups of the same job
 * share one read. All reads are subject to a rate limit; a lookup that would have to wait for longer than
 * {@link #MAX_RATE_LIMIT_DELAY} fails immediately.
 */
final class JobLookup {
    private static final Duration MAX_RATE_LIMIT_DELAY = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final TokenBucket rateLimit;
    private final FinalStateCache finalStates;
    private final JobReader reader;
    /** Reads that have not been sent yet, by job and in the order in which they will be sent. */
    private final Map<String, SharedRead> queued = new LinkedHashMap<>();

    private final Map<String, SharedRead> sent = new HashMap<>();
    private boolean sendScheduled;

    /** The callbacks of one lookup. */
    private record Caller(Consumer<JobLookupResult> onResult, Runnable onFailure) {}

    /** One read of a job's state, shared by all callers that wait for its result. */
    private static final class SharedRead {
        private final String id;
        /** Whether the job is known to have ended. If so, only its final state is read, as it has no live record. */
        private boolean knownEnded;

        private final List<Caller> callers = new ArrayList<>();
        /** Callers that arrived after the read was sent. A result that is not final may be too old for them. */
        private final List<Caller> lateCallers = new ArrayList<>();

        SharedRead(String id, boolean knownEnded) {
            this.id = id;
            this.knownEnded = knownEnded;
        }

        /**
         * Returns the maximum number of requests to the state store for this read. The final state is read only if
         * there is no live record.
         */
        int maxStoreRequests() {
            return knownEnded ? 1 : 2;
        }
    }

    /** @param rateLimit limits the requests to the state store; the reader consumes one token for each request */
    JobLookup(EventLoop loop, TokenBucket rateLimit, FinalStateCache finalStates, JobReader reader) {
        this.loop = loop;
        this.rateLimit = rateLimit;
        this.finalStates = finalStates;
        this.reader = reader;
    }

    /**
     * Looks up a job that may be live, ended or unknown.
     *
     * @param onResult receives the result, possibly before this method returns
     * @param onFailure runs if the state cannot be read now, possibly before this method returns
     */
    void lookUp(String id, Consumer<JobLookupResult> onResult, Runnable onFailure) {
        lookUp(id, false, new Caller(onResult, onFailure));
    }

    /** Looks up the final state of a job that is known to have ended. Same callbacks as {@link #lookUp}. */
    void lookUpEnded(String id, Consumer<JobLookupResult> onResult, Runnable onFailure) {
        lookUp(id, true, new Caller(onResult, onFailure));
    }

    private void lookUp(String id, boolean knownEnded, Caller caller) {
        JobStatus finalState = finalStates.find(id).orElse(null);
        if (finalState != null) {
            caller.onResult().accept(Found.ofFinalState(finalState));
        } else if (queued.containsKey(id)) {
            SharedRead read = queued.get(id);
            read.callers.add(caller);
            read.knownEnded |= knownEnded;
        } else if (sent.containsKey(id)) {
            sent.get(id).lateCallers.add(caller);
        } else if (rateLimit.timeUntilAvailable(maxQueuedStoreRequests() + 1).compareTo(MAX_RATE_LIMIT_DELAY) > 0) {
            caller.onFailure().run();
        } else {
            SharedRead read = new SharedRead(id, knownEnded);
            read.callers.add(caller);
            queued.put(id, read);
            scheduleSend();
        }
    }

    private int maxQueuedStoreRequests() {
        return queued.values().stream().mapToInt(SharedRead::maxStoreRequests).sum();
    }

    /**
     * Sends queued reads once the rate limit allows it. An additional short delay lets lookups of the same job that
     * arrive together share one read.
     */
    private void scheduleSend() {
        if (!queued.isEmpty() && !sendScheduled) {
            sendScheduled = true;
            loop.after(rateLimit.batchingDelay(), () -> {
                sendScheduled = false;
                sendQueued();
            });
        }
    }

    private void sendQueued() {
        while (!queued.isEmpty() && rateLimit.hasToken()) {
            send(queued.remove(queued.keySet().iterator().next()));
        }
        scheduleSend();
    }

    private void send(SharedRead read) {
        sent.put(read.id, read);
        if (read.knownEnded) {
            reader.readEnded(read.id, result -> complete(read, result), () -> fail(read));
        } else {
            reader.read(read.id, result -> complete(read, result), () -> fail(read));
        }
    }

    private void complete(SharedRead read, JobLookupResult result) {
        sent.remove(read.id);
        read.callers.forEach(caller -> caller.onResult().accept(result));
        if (result.isFinal()) {
            read.lateCallers.forEach(caller -> caller.onResult().accept(result));
        } else {
            read.lateCallers.forEach(caller -> lookUp(read.id, false, caller));
        }
    }

    private void fail(SharedRead read) {
        sent.remove(read.id);
        read.callers.forEach(caller -> caller.onFailure().run());
        read.lateCallers.forEach(caller -> caller.onFailure().run());
    }
}
