package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpStatus;

/** The limits of the state store's protocol for transactions, and counts of what was changed. */
final class CommitLimits {
    private static final int CONDITIONS_PER_CHANGE = 4;
    private static final int MAX_BYTES = 64 * 1024;

    private final EventLoop loop;
    /** Changes by the first two parts of their keys, such as live/jobs. */
    private final Map<String, Integer> changes = new TreeMap<>();

    private int largestValueBytes;
    private double tokens = FakeStateStore.MAX_CHANGES_PER_SECOND;
    private Instant tokensAt;

    CommitLimits(EventLoop loop) {
        this.loop = loop;
        this.tokensAt = loop.now();
    }

    /** The status by which the transaction is refused, or OK. */
    int check(ObjectNode body) {
        JsonNode then = body.path("then");
        boolean valid = then.size() <= FakeStateStore.MAX_CHANGES_PER_COMMIT
                && body.path("guards").size() <= CONDITIONS_PER_CHANGE * FakeStateStore.MAX_CHANGES_PER_COMMIT
                && body.toString().length() <= MAX_BYTES;
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
                        + Duration.between(tokensAt, loop.now()).toMillis()
                                / 1000.0
                                * FakeStateStore.MAX_CHANGES_PER_SECOND);
        tokensAt = loop.now();
        if (tokens < then.size()) {
            return HttpStatus.TOO_MANY_REQUESTS;
        }
        tokens -= then.size();
        return HttpStatus.OK;
    }

    /** Counts a change of the key. */
    void count(String key) {
        String[] parts = key.split("/", -1);
        changes.merge(parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0], 1, Integer::sum);
    }

    /** How often keys of this prefix were changed. */
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
