package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the view up to date with the state store: one full reading, then the watch from its revision on. */
final class WatchStream {
    private static final Logger LOG = LoggerFactory.getLogger(WatchStream.class);
    /** How old the view may be for this controller to act on it. */
    private static final Duration FRESH = Duration.ofSeconds(10);

    private static final Duration LONGEST_AWAITED = Duration.ofSeconds(5);
    /** A watch that is answered sooner than this tells of changes that go on. */
    private static final Duration BUSY = Duration.ofMillis(120);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final TokenBucket requests;
    private final Duration wait;
    private final Runnable changed;
    private boolean synced;
    private Instant lastWatched = Instant.MIN;
    /** When the last reading or watch that was answered had been sent. */
    private Instant knownThrough = Instant.MIN;
    /** Counts full readings: answers that belong to an earlier one are dropped. */
    private long run;
    /** Revision that the watch has to reach before the view is good enough for another commit. */
    private long awaited;

    private Instant awaitedSince;

    /** One full reading of the live keys, page by page. */
    private record Reading(long run, Instant asked, Map<String, JsonNode> items) {}

    /**
     * @param requests what watches may use of the requests that the state service allows
     * @param wait how long the state service holds back the answer to a watch while nothing changes
     * @param changed runs whenever the view has changed, or has come nearer to an awaited revision
     */
    WatchStream(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            TokenBucket requests,
            Duration wait,
            Runnable changed) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.requests = requests;
        this.wait = wait;
        this.changed = changed;
    }

    /** Whether the view follows the store without a gap. */
    boolean fresh() {
        return synced && loop.now().isBefore(lastWatched.plus(FRESH));
    }

    /** See {@link ReplicatedState#knownThrough()}. */
    Instant knownUntil() {
        return knownThrough;
    }

    /** Makes {@link #reachedAwaited()} hold back until the watch has passed the revision; false if it has already. */
    boolean await(long revision) {
        if (clusterState.watchedRevision() >= revision) {
            return false;
        }
        awaited = revision;
        awaitedSince = loop.now();
        return true;
    }

    /** Whether the watch has passed the awaited revision; if it does not for too long, everything is read anew. */
    boolean reachedAwaited() {
        if (clusterState.watchedRevision() >= awaited) {
            awaited = 0;
            return true;
        }
        if (awaitedSince.plus(LONGEST_AWAITED).isBefore(loop.now())) {
            LOG.info("the watch does not bring revision {}; reading anew", awaited);
            awaited = 0;
            readAll();
        }
        return false;
    }

    /** Reads all live keys; until that is done the view is not fresh. */
    void readAll() {
        synced = false;
        run++;
        readPage(new Reading(run, loop.now(), new HashMap<>()), null, 0);
    }

    private void readPage(Reading reading, String from, long firstRevision) {
        store.list(StoreKeys.LIVE, from, outcome -> {
            if (reading.run() != run) {
                return;
            }
            if (outcome.is(200)) {
                pageRead(reading, outcome, firstRevision);
            } else {
                retry(reading.run(), this::readAll);
            }
        });
    }

    private void pageRead(Reading reading, StateStoreClient.Outcome outcome, long firstRevision) {
        String last = null;
        for (JsonNode item : outcome.body().path("items")) {
            last = item.path("k").asText();
            reading.items().put(last, item);
        }
        // The watch begins at the first page's revision, so that it brings what changed during the reading.
        long revision = firstRevision == 0 ? outcome.revision() : firstRevision;
        if (outcome.body().path("more").asBoolean() && last != null) {
            readPage(reading, last, revision);
        } else {
            allRead(reading, revision);
        }
    }

    private void allRead(Reading reading, long revision) {
        clusterState.clear();
        reading.items().forEach(this::take);
        clusterState.onFullRead(revision);
        synced = true;
        lastWatched = loop.now();
        knownThrough = reading.asked();
        LOG.info("read {} keys at revision {}", reading.items().size(), revision);
        changed.run();
        watch(reading.run(), revision);
    }

    private void retry(long ofRun, Runnable action) {
        loop.after(StateStoreClient.RETRY, () -> ifCurrent(ofRun, action));
    }

    private void ifCurrent(long ofRun, Runnable action) {
        if (ofRun == run) {
            action.run();
        }
    }

    private void take(String key, JsonNode item) {
        try {
            StoreRecord value = RecordCodec.decode(key, item.path("v"));
            if (value != null) {
                clusterState.put(key, value, StateStoreClient.version(item));
            }
        } catch (MalformedMessageException e) {
            LOG.error("{} holds a value that is not of our form: {}", key, e.getMessage());
        }
    }

    private void watch(long ofRun, long from) {
        Instant asked = loop.now();
        store.watch(StoreKeys.LIVE, from, wait, outcome -> {
            if (ofRun != run) {
                return;
            }
            if (outcome.kind() == HttpResponse.Outcome.ANSWERED && outcome.status() == 410) {
                readAll();
            } else if (outcome.is(200)) {
                watched(ofRun, asked, from, outcome);
            } else {
                retry(ofRun, () -> watch(ofRun, from));
            }
        });
    }

    private void watched(long ofRun, Instant asked, long from, StateStoreClient.Outcome outcome) {
        boolean any = false;
        for (JsonNode event : outcome.body().path("events")) {
            any |= apply(event);
        }
        long to = Math.max(from, outcome.revision());
        clusterState.advanceTo(to);
        lastWatched = loop.now();
        knownThrough = asked;
        if (any || awaited > 0) {
            changed.run();
        }
        // The store answers at once while changes go on; a short pause gathers them and spares requests.
        if (asked.plus(BUSY).isAfter(loop.now())) {
            requests.consume(1);
            loop.after(requests.batchingDelay(), () -> ifCurrent(ofRun, () -> watch(ofRun, to)));
        } else {
            watch(ofRun, to);
        }
    }

    private boolean apply(JsonNode event) {
        String removed = event.path("remove").asText(null);
        if (removed != null) {
            return clusterState.remove(removed, StateStoreClient.version(event));
        }
        take(event.path("put").asText(), event);
        return true;
    }
}
