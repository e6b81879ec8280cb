package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the cluster state up to date with the store: one read of all keys, then the watch from its revision on. */
final class WatchStream {
    private static final Logger LOG = LoggerFactory.getLogger(WatchStream.class);
    /** How old the cluster state may be for this controller to act on it. */
    private static final Duration MAX_AGE = Duration.ofSeconds(10);

    private static final Duration MAX_AWAIT = Duration.ofSeconds(5);
    /** A watch that is answered sooner than this shows that more changes are to be expected. */
    private static final Duration PROMPT_ANSWER = Duration.ofMillis(120);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final TokenBucket requestLimit;
    private final Duration watchWait;
    private final Runnable onStateChanged;
    private boolean synced;
    private Instant lastAnsweredAt = Instant.MIN;
    /** When the last read or watch that was answered had been sent. */
    private Instant knownThrough = Instant.MIN;
    /** Counts reads of all keys: responses that belong to an earlier one are dropped. */
    private long generation;
    /** Revision that the watch has to reach before the cluster state is good enough for another commit. */
    private long awaitedRevision;

    private Instant awaitedSince;

    /**
     * @param requestLimit what watches may use of the requests that the store allows
     * @param watchWait how long the store holds back the response to a watch while nothing changes
     * @param onStateChanged runs whenever the cluster state has changed, or has come nearer to an awaited revision
     */
    WatchStream(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            TokenBucket requestLimit,
            Duration watchWait,
            Runnable onStateChanged) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.requestLimit = requestLimit;
        this.watchWait = watchWait;
        this.onStateChanged = onStateChanged;
    }

    /** Whether the cluster state follows the store without a gap. */
    boolean isFresh() {
        return synced && loop.now().isBefore(lastAnsweredAt.plus(MAX_AGE));
    }

    /** See {@link ReplicatedState#knownThrough()}. */
    Instant knownThrough() {
        return knownThrough;
    }

    /** Makes {@link #hasReachedAwaited()} false until the watch has passed the revision; false if it has already. */
    boolean await(long revision) {
        if (clusterState.watchedRevision() >= revision) {
            return false;
        }
        awaitedRevision = revision;
        awaitedSince = loop.now();
        return true;
    }

    /** Whether the watch has passed the awaited revision; if that takes too long, all keys are read again. */
    boolean hasReachedAwaited() {
        if (clusterState.watchedRevision() >= awaitedRevision) {
            awaitedRevision = 0;
            return true;
        }
        if (awaitedSince.plus(MAX_AWAIT).isBefore(loop.now())) {
            LOG.info("the watch does not reach an awaited revision; reading all keys revision={}", awaitedRevision);
            awaitedRevision = 0;
            readAll();
        }
        return false;
    }

    /** Reads all live keys; until that is done the cluster state is not fresh. */
    void readAll() {
        synced = false;
        generation++;
        long ofGeneration = generation;
        Instant sentAt = loop.now();
        FullRead.Callback callback = new FullRead.Callback() {
            @Override
            public void onRead(Map<String, JsonNode> items, long revision) {
                onFullRead(ofGeneration, sentAt, items, revision);
            }

            @Override
            public void onFailed() {
                retry(ofGeneration, WatchStream.this::readAll);
            }
        };
        new FullRead(store, () -> isCurrent(ofGeneration), callback).start();
    }

    private void onFullRead(long ofGeneration, Instant sentAt, Map<String, JsonNode> items, long revision) {
        clusterState.clear();
        items.forEach(this::put);
        clusterState.onFullRead(revision);
        synced = true;
        lastAnsweredAt = loop.now();
        knownThrough = sentAt;
        LOG.info("read all keys revision={} keys={}", revision, items.size());
        onStateChanged.run();
        watch(ofGeneration, revision);
    }

    private boolean isCurrent(long ofGeneration) {
        return ofGeneration == generation;
    }

    private void retry(long ofGeneration, Runnable action) {
        loop.after(StateStoreClient.RETRY_DELAY, () -> runIfCurrent(ofGeneration, action));
    }

    private void runIfCurrent(long ofGeneration, Runnable action) {
        if (isCurrent(ofGeneration)) {
            action.run();
        }
    }

    private void put(String key, JsonNode item) {
        try {
            StoreRecord value = RecordCodec.decode(key, item.path("v"));
            if (value != null) {
                clusterState.put(key, value, StateStoreClient.version(item));
            }
        } catch (MalformedMessageException e) {
            LOG.error("ignored a malformed record error=\"{}\"", e.getMessage());
        }
    }

    private void watch(long ofGeneration, long afterRevision) {
        Instant sentAt = loop.now();
        store.watch(StoreKeys.LIVE, afterRevision, watchWait, outcome -> {
            if (!isCurrent(ofGeneration)) {
                return;
            }
            if (outcome.isGone()) {
                readAll();
            } else if (outcome.isOkWithBody()) {
                onWatchAnswered(ofGeneration, sentAt, afterRevision, outcome);
            } else {
                retry(ofGeneration, () -> watch(ofGeneration, afterRevision));
            }
        });
    }

    private void onWatchAnswered(
            long ofGeneration, Instant sentAt, long afterRevision, StateStoreClient.Outcome outcome) {
        boolean changed = false;
        for (JsonNode event : outcome.body().path("events")) {
            changed |= apply(event);
        }
        long revision = Math.max(afterRevision, outcome.revision());
        clusterState.advanceTo(revision);
        lastAnsweredAt = loop.now();
        knownThrough = sentAt;
        if (changed || awaitedRevision > 0) {
            onStateChanged.run();
        }
        // The store answers at once while there are changes; a short pause batches them and saves requests.
        if (sentAt.plus(PROMPT_ANSWER).isAfter(loop.now())) {
            requestLimit.consume(1);
            loop.after(
                    requestLimit.batchingDelay(),
                    () -> runIfCurrent(ofGeneration, () -> watch(ofGeneration, revision)));
        } else {
            watch(ofGeneration, revision);
        }
    }

    private boolean apply(JsonNode event) {
        String removedKey = event.path("remove").asText(null);
        if (removedKey != null) {
            return clusterState.remove(removedKey, StateStoreClient.version(event));
        }
        put(event.path("put").asText(), event);
        return true;
    }
}
