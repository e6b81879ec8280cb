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

/** The faults of the state store that are on at present, and what they do to requests and transactions. */
final class StoreFaults {
    private static final int MIN_COMMIT_DELAY_MS = 2000;
    private static final int COMMIT_DELAY_RANGE_MS = 10_000;

    /** What becomes of a transaction: it is applied after the delay, and its response may be lost. */
    record CommitFate(Duration delay, boolean answered) {
        private static final CommitFate NORMAL = new CommitFate(Duration.ZERO, true);

        boolean isLate() {
            return !delay.isZero();
        }
    }

    private final EventLoop loop;
    private final Set<String> rejectedClients = new HashSet<>();
    private boolean down;
    private double lateShare;
    private RandomGenerator lateRandom;
    private double lostShare;
    private RandomGenerator lostRandom;
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
        lateShare = share;
        lateRandom = random;
    }

    void dropResponses(double share, RandomGenerator random) {
        lostShare = share;
        lostRandom = random;
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

    /** Ends all faults but an outage. */
    void clear() {
        rejectedClients.clear();
        lateShare = 0;
        lostShare = 0;
        delayedChange = null;
        latencyMillis = 0;
        delayedResponses = (client, exchange) -> false;
    }

    /** The exchange with the delay that its response has at present. */
    HttpExchange delayed(String client, HttpExchange exchange) {
        if (delayedResponses.test(client, exchange)) {
            return new LateExchange(loop, exchange, responseDelay);
        }
        return latencyMillis == 0
                ? exchange
                : new LateExchange(loop, exchange, Duration.ofMillis(latencyRandom.nextInt(latencyMillis)));
    }

    /** Decides what becomes of the transaction with this body. */
    CommitFate fateOf(ObjectNode body) {
        if (delayedChange != null && anyChange(body, delayedChange)) {
            delayedChange = null;
            return new CommitFate(commitDelay, false);
        }
        if (lateShare > 0 && lateRandom.nextDouble() < lateShare) {
            return new CommitFate(
                    Duration.ofMillis(MIN_COMMIT_DELAY_MS + lateRandom.nextInt(COMMIT_DELAY_RANGE_MS)), false);
        }
        if (lostShare > 0 && lostRandom.nextDouble() < lostShare) {
            return new CommitFate(Duration.ZERO, false);
        }
        return CommitFate.NORMAL;
    }

    private static boolean anyChange(ObjectNode body, Predicate<JsonNode> which) {
        for (JsonNode change : body.path("then")) {
            if (which.test(change)) {
                return true;
            }
        }
        return false;
    }

    /** An exchange whose response comes later; what it asks for is done at once. */
    private static final class LateExchange extends ForwardingExchange {
        private final EventLoop loop;
        private final Duration delay;

        LateExchange(EventLoop loop, HttpExchange exchange, Duration delay) {
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
