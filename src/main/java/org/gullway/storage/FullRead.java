package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.gullway.coordination.model.StoreKeys;

/** One read of all live keys, page by page. */
final class FullRead {
    /** Takes the outcome of a read, unless another one has begun since. */
    interface Callback {
        /**
         * All pages were read.
         *
         * @param items the keys with their values and versions, each at the revision of its page
         * @param revision of the first page: a watch from there brings what changed during the read
         */
        void onRead(Map<String, JsonNode> items, long revision);

        /** A page could not be read. */
        void onFailed();
    }

    private final StateStoreClient store;
    private final BooleanSupplier isCurrent;
    private final Callback callback;
    private final Map<String, JsonNode> items = new HashMap<>();

    /** @param isCurrent whether the read is still wanted; if not, its responses are dropped */
    FullRead(StateStoreClient store, BooleanSupplier isCurrent, Callback callback) {
        this.store = store;
        this.isCurrent = isCurrent;
        this.callback = callback;
    }

    void start() {
        readPage(null, 0);
    }

    private void readPage(String after, long firstRevision) {
        store.list(StoreKeys.LIVE, after, outcome -> {
            if (!isCurrent.getAsBoolean()) {
                return;
            }
            if (outcome.isOkWithBody()) {
                onPage(outcome, firstRevision);
            } else {
                callback.onFailed();
            }
        });
    }

    private void onPage(StateStoreClient.Outcome outcome, long firstRevision) {
        String lastKey = null;
        for (JsonNode item : outcome.body().path("items")) {
            lastKey = item.path("k").asText();
            items.put(lastKey, item);
        }
        long revision = firstRevision == 0 ? outcome.revision() : firstRevision;
        if (outcome.body().path("more").asBoolean() && lastKey != null) {
            readPage(lastKey, revision);
        } else {
            callback.onRead(items, revision);
        }
    }
}
