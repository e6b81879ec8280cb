package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpStatus;

/**
 * The limits that the state store's protocol sets for transactions, and counters of the changes by key prefix. Sizes in
 * bytes are approximated by the length of the JSON text, although messages are encoded as CBOR.
 */
final class CommitLimits {
    /** The maximum number of conditions, as a multiple of the maximum number of changes. */
    private static final int CONDITION_LIMIT_FACTOR = 4;

    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

    private final EventLoop loop;
    /** Number of changes by the first two segments of the key, such as {@code live/jobs}. */
    private final Map<String, Integer> changes = new TreeMap<>();

    private int largestValueBytes;
    private double tokens = FakeStateStore.MAX_CHANGES_PER_SECOND;
    private Instant refilledAt;

    CommitLimits(EventLoop loop) {
        this.loop = loop;
        this.refilledAt = loop.now();
    }

    /** Returns the HTTP status with which the transaction is rejected, or OK. */
    int admit(ObjectNode body) {
        JsonNode then = body.path("then");
        boolean valid = then.size() <= FakeStateStore.MAX_CHANGES_PER_COMMIT
                && body.path("guards").size() <= CONDITION_LIMIT_FACTOR * FakeStateStore.MAX_CHANGES_PER_COMMIT
                && body.toString().length() <= MAX_TRANSACTION_BYTES;
        for (JsonNode change : then) {
            int bytes = change.path("v").toString().length();
            largestValueBytes = Math.max(largestValueBytes, bytes);
            valid &= bytes <= FakeStateStore.MAX_VALUE_BYTES;
        }
        if (!valid) {
            return HttpStatus.BAD_REQUEST;
        }
        tokens = Math.min(
                FakeStateStore.MAX_CHANGES_PER_SECOND,
                tokens
                        + Duration.between(refilledAt, loop.now()).toMillis()
                                / 1000.0
                                * FakeStateStore.MAX_CHANGES_PER_SECOND);
        refilledAt = loop.now();
        if (tokens < then.size()) {
            return HttpStatus.TOO_MANY_REQUESTS;
        }
        tokens -= then.size();
        return HttpStatus.OK;
    }

    /** Counts one change of the key. */
    void count(String key) {
        String[] parts = key.split("/", -1);
        changes.merge(parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0], 1, Integer::sum);
    }

    /** Returns the number of changes of keys with this prefix, which has at most two segments. */
    int changeCount(String prefix) {
        return changes.entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    int largestValueBytes() {
        return largestValueBytes;
    }
}
