package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;

/** The active faults of the state store, and their effect on requests and transactions. */
final class StoreFaults {
    private static final int MIN_COMMIT_DELAY_MS = 2000;
    private static final int COMMIT_DELAY_RANGE_MS = 10_000;

    /** How a transaction is processed: the delay before it is applied, and whether its response is sent. */
    record CommitHandling(Duration delay, boolean answered) {
        private static final CommitHandling NORMAL = new CommitHandling(Duration.ZERO, true);

        boolean isDelayed() {
            return !delay.isZero();
        }
    }

    private final EventLoop loop;
    private final Set<String> rejectedClients = new HashSet<>();
    private boolean down;
    private double delayedShare;
    private RandomGenerator delayRandom;
    private double droppedShare;
    private RandomGenerator dropRandom;
    private Predicate<JsonNode> delayedChange;
    private Duration commitDelay;
    private BiPredicate<String, HttpExchange> delayedResponses = (client, exchange) -> false;
    private Duration responseDelay = Duration.ZERO;
    private int latencyMillis;
    private RandomGenerator latencyRandom;

    StoreFaults(EventLoop loop) {
        this.loop = loop;
    }

    void setDown(boolean value) {
        down = value;
    }

    boolean isDown() {
        return down;
    }

    void rejectFrom(String client, boolean on) {
        if (on) {
            rejectedClients.add(client);
        } else {
            rejectedClients.remove(client);
        }
    }

    boolean serves(String client) {
        return !down && !rejectedClients.contains(client);
    }

    void delayCommits(double share, RandomGenerator random) {
        delayedShare = share;
        delayRandom = random;
    }

    void dropResponses(double share, RandomGenerator random) {
        droppedShare = share;
        dropRandom = random;
    }

    void delayNextCommit(Predicate<JsonNode> change, Duration delay) {
        delayedChange = change;
        commitDelay = delay;
    }

    void delayResponses(BiPredicate<String, HttpExchange> which, Duration delay) {
        delayedResponses = which;
        responseDelay = delay;
    }

    void addLatency(int maxMillis, RandomGenerator random) {
        latencyMillis = maxMillis;
        latencyRandom = random;
    }

    /** Ends all faults except an outage. */
    void clear() {
        rejectedClients.clear();
        delayedShare = 0;
        droppedShare = 0;
        delayedChange = null;
        latencyMillis = 0;
        delayedResponses = (client, exchange) -> false;
    }

    /** Returns an exchange that delays its response as the active faults require. */
    HttpExchange withDelay(String client, HttpExchange exchange) {
        if (delayedResponses.test(client, exchange)) {
            return new DelayedExchange(loop, exchange, responseDelay);
        }
        return latencyMillis == 0
                ? exchange
                : new DelayedExchange(loop, exchange, Duration.ofMillis(latencyRandom.nextInt(latencyMillis)));
    }

    /** Decides how the transaction with this body is processed. */
    CommitHandling handlingOf(ObjectNode body) {
        if (delayedChange != null && anyChangeMatches(body, delayedChange)) {
            delayedChange = null;
            return new CommitHandling(commitDelay, false);
        }
        if (delayedShare > 0 && delayRandom.nextDouble() < delayedShare) {
            return new CommitHandling(
                    Duration.ofMillis(MIN_COMMIT_DELAY_MS + delayRandom.nextInt(COMMIT_DELAY_RANGE_MS)), false);
        }
        if (droppedShare > 0 && dropRandom.nextDouble() < droppedShare) {
            return new CommitHandling(Duration.ZERO, false);
        }
        return CommitHandling.NORMAL;
    }

    private static boolean anyChangeMatches(ObjectNode body, Predicate<JsonNode> which) {
        for (JsonNode change : body.path("then")) {
            if (which.test(change)) {
                return true;
            }
        }
        return false;
    }

    /** An exchange whose response is delayed. The request itself is processed immediately. */
    private static final class DelayedExchange extends ForwardingExchange {
        private final EventLoop loop;
        private final Duration delay;

        DelayedExchange(EventLoop loop, HttpExchange exchange, Duration delay) {
            super(exchange);
            this.loop = loop;
            this.delay = delay;
        }

        @Override
        public void respond(int status, byte[] content) {
            loop.after(delay, () -> super.respond(status, content));
        }

        @Override
        public void reject(int status, Duration retryAfter) {
            loop.after(delay, () -> super.reject(status, retryAfter));
        }
    }
}
