package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.Count;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the cluster state up to date with the state store: reads all keys, then watches for changes after the revision
 * of that read.
 */
final class WatchStream {
    private static final Logger LOG = LoggerFactory.getLogger(WatchStream.class);
    /** How long after the last response to a watch or a full read the cluster state still counts as fresh. */
    private static final Duration MAX_AGE = Duration.ofSeconds(10);

    private static final Duration MAX_REVISION_WAIT = Duration.ofSeconds(5);
    /** A watch response that arrives within this time indicates that more changes will follow. */
    private static final Duration PROMPT_RESPONSE_THRESHOLD = Duration.ofMillis(120);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final TokenBucket requestLimit;
    private final Duration watchWait;
    private final Runnable requestCycle;
    private boolean synced;
    private Instant lastResponseAt = Instant.MIN;
    /** Send time of the latest answered watch or, if none was answered since, of the first request of the full read. */
    private Instant knownThrough = Instant.MIN;
    /** Number of the latest full read. Responses that belong to an earlier full read are ignored. */
    private long generation;
    /** Revision that the watch must reach before the next transaction is sent; null if there is none. */
    private Count awaitedRevision;

    private Instant awaitedSince;

    /**
     * @param requestLimit rate limit that delays the next watch after a prompt response
     * @param watchWait how long the store may delay its response to a watch while there are no changes
     * @param requestCycle runs when the cluster state has changed, and on each watch response while a
     *     revision is awaited
     */
    WatchStream(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            TokenBucket requestLimit,
            Duration watchWait,
            Runnable requestCycle) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.requestLimit = requestLimit;
        this.watchWait = watchWait;
        this.requestCycle = requestCycle;
    }

    /** See {@link ReplicatedState#isFresh()}. */
    boolean isFresh() {
        return synced && loop.now().isBefore(lastResponseAt.plus(MAX_AGE));
    }

    /** See {@link ReplicatedState#knownThrough()}. */
    Instant knownThrough() {
        return knownThrough;
    }

    /**
     * Makes {@link #checkAwaitedRevision()} return false until the watch has reached the revision, or until a full read
     * has been started because the watch is late. Has no effect and returns false if the watch has already reached the
     * revision.
     */
    boolean awaitRevision(Count revision) {
        if (clusterState.watchedRevision().isAtLeast(revision)) {
            return false;
        }
        awaitedRevision = revision;
        awaitedSince = loop.now();
        return true;
    }

    /**
     * Returns true if no revision is awaited or the watch has reached the awaited revision. If the watch does not reach
     * it within {@link #MAX_REVISION_WAIT}, this method starts a full read and the revision is no longer awaited.
     */
    boolean checkAwaitedRevision() {
        if (awaitedRevision == null || clusterState.watchedRevision().isAtLeast(awaitedRevision)) {
            awaitedRevision = null;
            return true;
        }
        if (awaitedSince.plus(MAX_REVISION_WAIT).isBefore(loop.now())) {
            LOG.info(
                    "watch did not reach the awaited revision in time; starting a full read revision={}"
                            + " watched_revision={} elapsed_ms={}",
                    awaitedRevision,
                    clusterState.watchedRevision(),
                    Duration.between(awaitedSince, loop.now()).toMillis());
            awaitedRevision = null;
            readAll();
        }
        return false;
    }

    /**
     * Starts a full read of the keys under {@link StoreKeys#LIVE}. The cluster state is not fresh until the read is
     * complete.
     */
    void readAll() {
        synced = false;
        generation++;
        long readGeneration = generation;
        Instant sentAt = loop.now();
        FullRead.Callback callback = new FullRead.Callback() {
            @Override
            public void onComplete(Map<String, JsonNode> items, Count revision) {
                runOrRetry(
                        readGeneration,
                        () -> onFullRead(readGeneration, sentAt, items, revision),
                        WatchStream.this::readAll);
            }

            @Override
            public void onFailed() {
                retry(readGeneration, WatchStream.this::readAll);
            }
        };
        new FullRead(store, () -> isCurrent(readGeneration), callback).start();
    }

    private void onFullRead(long readGeneration, Instant sentAt, Map<String, JsonNode> items, Count revision) {
        clusterState.clear();
        items.forEach(this::putOrIgnore);
        clusterState.onFullRead(revision);
        synced = true;
        lastResponseAt = loop.now();
        knownThrough = sentAt;
        LOG.info("full read of the state store complete revision={} keys={}", revision, items.size());
        requestCycle.run();
        watch(readGeneration, revision);
    }

    private boolean isCurrent(long readGeneration) {
        return readGeneration == generation;
    }

    private void retry(long readGeneration, Runnable action) {
        loop.after(StateStoreClient.RETRY_DELAY, () -> runIfCurrent(readGeneration, action));
    }

    /**
     * Handles a response. Only a response leads to the next request, so after an unforeseen exception the request is
     * repeated; otherwise the cluster state would never change again.
     */
    private void runOrRetry(long readGeneration, Runnable handler, Runnable request) {
        try {
            handler.run();
        } catch (RuntimeException e) {
            LOG.error("could not handle a response of the state store; repeating the request", e);
            retry(readGeneration, request);
        }
    }

    private void runIfCurrent(long readGeneration, Runnable action) {
        if (isCurrent(readGeneration)) {
            action.run();
        }
    }

    /** Puts a record into the cluster state. A record that fails, for whatever reason, must not hide the others. */
    private void putOrIgnore(String key, JsonNode item) {
        try {
            StoreRecord value = RecordCodec.decode(key, item.path("v"));
            if (value != null) {
                clusterState.put(key, value, ResponseCounts.version(item));
            }
        } catch (MalformedMessageException e) {
            LOG.error("ignored malformed record and kept any previous value key={} error=\"{}\"", key, e.getMessage());
        } catch (RuntimeException e) {
            LOG.error("ignored a record that could not be put into the cluster state key={}", key, e);
        }
    }

    private void watch(long readGeneration, Count afterRevision) {
        Instant sentAt = loop.now();
        store.watch(StoreKeys.LIVE, afterRevision, watchWait, outcome -> {
            if (!isCurrent(readGeneration)) {
                return;
            }
            if (outcome.isGone() || outcome.isTooLarge()) {
                LOG.info(
                        "watch cannot continue from its revision; starting a full read watched_revision={} reason={}",
                        afterRevision,
                        outcome.isGone() ? "changes_not_retained" : "response_too_large");
                readAll();
            } else if (outcome.isOkWithBody()) {
                runOrRetry(
                        readGeneration,
                        () -> onWatchResponse(readGeneration, sentAt, afterRevision, outcome),
                        () -> watch(readGeneration, afterRevision));
            } else {
                retry(readGeneration, () -> watch(readGeneration, afterRevision));
            }
        });
    }

    private void onWatchResponse(
            long readGeneration, Instant sentAt, Count afterRevision, StateStoreClient.Outcome outcome) {
        JsonNode events = outcome.body().path("events");
        if (!haveValidVersions(events)) {
            // The next watch would not return these changes again, so that this controller would never learn of them.
            retry(readGeneration, this::readAll);
            return;
        }
        boolean changed = false;
        for (JsonNode event : events) {
            changed |= applyOrIgnore(event);
        }
        Count revision = Count.max(afterRevision, outcome.revision());
        clusterState.advanceTo(revision);
        lastResponseAt = loop.now();
        knownThrough = sentAt;
        if (changed || awaitedRevision != null) {
            requestCycle.run();
        }
        // The store answers immediately while there are changes; a short pause before the next watch collects several
        // changes in one response and saves requests.
        if (sentAt.plus(PROMPT_RESPONSE_THRESHOLD).isAfter(loop.now())) {
            requestLimit.consume(1);
            loop.after(
                    requestLimit.batchingDelay(),
                    () -> runIfCurrent(readGeneration, () -> watch(readGeneration, revision)));
        } else {
            watch(readGeneration, revision);
        }
    }

    private static boolean haveValidVersions(JsonNode events) {
        for (JsonNode event : events) {
            try {
                ResponseCounts.version(event);
            } catch (MalformedMessageException e) {
                LOG.error(
                        "a watch returned a change with an invalid version; starting a full read key={} error=\"{}\"",
                        event.path(event.has("remove") ? "remove" : "put").asText(),
                        e.getMessage());
                return false;
            }
        }
        return true;
    }

    private boolean applyOrIgnore(JsonNode event) {
        String removedKey = event.path("remove").asText(null);
        if (removedKey == null) {
            putOrIgnore(event.path("put").asText(), event);
            return true;
        }
        try {
            return clusterState.remove(removedKey, ResponseCounts.version(event));
        } catch (MalformedMessageException | RuntimeException e) {
            LOG.error("ignored a removal that could not be applied key={}", removedKey, e);
            return true;
        }
    }
}
