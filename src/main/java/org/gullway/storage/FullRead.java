package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.Count;

/** One full read: reads all keys under {@link StoreKeys#LIVE}, page by page. */
final class FullRead {
    /** Receives the outcome of the read. It is not called if the read has been superseded. */
    interface Callback {
        /**
         * Called when all pages have been read.
         *
         * @param items the value and version of each key, as of the revision of its page
         * @param revision revision of the first page; a watch from this revision returns all changes made during the
         *     read
         */
        void onComplete(Map<String, JsonNode> items, Count revision);

        /** Called when a page could not be read; the remaining pages are not requested. */
        void onFailed();
    }

    private final StateStoreClient store;
    private final BooleanSupplier isCurrent;
    private final Callback callback;
    private final Map<String, JsonNode> items = new HashMap<>();

    /** @param isCurrent returns false once the read has been superseded; later responses are then ignored */
    FullRead(StateStoreClient store, BooleanSupplier isCurrent, Callback callback) {
        this.store = store;
        this.isCurrent = isCurrent;
        this.callback = callback;
    }

    void start() {
        readPage(null, null);
    }

    /** @param firstRevision revision of the first page; null if the page to read is the first one */
    private void readPage(String after, Count firstRevision) {
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

    private void onPage(StateStoreClient.Outcome outcome, Count firstRevision) {
        String lastKey = null;
        for (JsonNode item : outcome.body().path("items")) {
            lastKey = item.path("k").asText();
            items.put(lastKey, item);
        }
        Count revision = firstRevision == null ? outcome.revision() : firstRevision;
        if (outcome.body().path("more").asBoolean() && lastKey != null) {
            readPage(lastKey, revision);
        } else {
            callback.onComplete(items, revision);
        }
    }
}
