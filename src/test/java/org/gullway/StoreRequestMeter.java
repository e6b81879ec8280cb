package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/**
 * Counts, by controller, two kinds of requests to the state store: version checks and reads of single jobs. Once the
 * rate limit is enforced, it also rejects all requests above the limit.
 */
final class StoreRequestMeter {
    /** The rate limit in the controllers' settings, and the capacity of the token bucket. */
    static final int REQUESTS_PER_SECOND = 150;

    private final SimulatedTime time;
    private final Map<String, Integer> versionChecks = new HashMap<>();
    private final Map<String, Integer> jobReads = new HashMap<>();
    private boolean rateLimitEnforced;
    private double tokens = REQUESTS_PER_SECOND;
    private Instant tokensUpdatedAt = Instant.EPOCH;
    private int rejected;

    StoreRequestMeter(SimulatedTime time) {
        this.time = time;
    }

    /** Answers requests above the rate limit with status 429 from now on. */
    void enforceRateLimit() {
        rateLimitEnforced = true;
    }

    void clear() {
        versionChecks.clear();
        jobReads.clear();
        rejected = 0;
    }

    void handle(HttpExchange exchange, Consumer<HttpExchange> store) {
        count(exchange);
        if (rateLimitEnforced && !takeToken()) {
            rejected++;
            exchange.respond(HttpStatus.TOO_MANY_REQUESTS, new byte[0]);
        } else {
            store.accept(exchange);
        }
    }

    private void count(HttpExchange exchange) {
        String node = exchange instanceof SimulatedNetwork.Message message ? message.from() : "";
        if (exchange.path().startsWith("/store/live/jobs/") || exchange.path().startsWith("/store/ended/")) {
            jobReads.merge(node, 1, Integer::sum);
        } else if (exchange.path().equals("/commit") && changesNothing(exchange)) {
            versionChecks.merge(node, 1, Integer::sum);
        }
    }

    private static boolean changesNothing(HttpExchange exchange) {
        try {
            JsonNode then = Cbor.decode(exchange.body()).path("then");
            return then.isEmpty();
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    private boolean takeToken() {
        Instant now = time.now();
        tokens = Math.min(
                REQUESTS_PER_SECOND,
                tokens + Duration.between(tokensUpdatedAt, now).toMillis() / 1000.0 * REQUESTS_PER_SECOND);
        tokensUpdatedAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * The number of transactions without changes that this controller sent. A controller uses them to check key
     * versions before it answers a query.
     */
    int versionChecks(String node) {
        return versionChecks.getOrDefault(node, 0);
    }

    /** How many times this controller read a single job. */
    int jobReads(String node) {
        return jobReads.getOrDefault(node, 0);
    }

    int rejected() {
        return rejected;
    }
}
