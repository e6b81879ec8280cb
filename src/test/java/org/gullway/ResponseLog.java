package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.fake.ForwardingExchange;
import org.gullway.fake.SimulatedTime;
import org.gullway.transport.HttpExchange;

/** Records each request at the controllers' public addresses with the status and the latency of its response. */
final class ResponseLog {
    enum Kind {
        QUERY,
        SUBMISSION,
        CANCELLATION,
        HEARTBEAT,
        OTHER;

        private static Kind of(HttpExchange exchange) {
            if (exchange.path().equals("/agent/beat")) {
                return HEARTBEAT;
            }
            if (exchange.path().equals("/v2/runs")) {
                return SUBMISSION;
            }
            if (!exchange.path().startsWith("/v2/runs/")) {
                return OTHER;
            }
            return exchange.method().equals("GET") ? QUERY : CANCELLATION;
        }
    }

    /** A request and its response; until the response is sent, status is 0 and answeredAt is null. */
    static final class Entry {
        final String node;
        final Kind kind;
        final Instant receivedAt;
        private Instant answeredAt;
        private int status;
        private boolean retryDelayOfAtLeastOneSecond;

        private Entry(String node, Kind kind, Instant receivedAt) {
            this.node = node;
            this.kind = kind;
            this.receivedAt = receivedAt;
        }

        int status() {
            return status;
        }

        boolean hasRetryDelayOfAtLeastOneSecond() {
            return retryDelayOfAtLeastOneSecond;
        }

        /** Time from the request to its response, or to now if there is no response yet. */
        Duration elapsed(Instant now) {
            return Duration.between(receivedAt, answeredAt == null ? now : answeredAt);
        }
    }

    private static final class LoggedExchange extends ForwardingExchange {
        private final Entry entry;
        private final SimulatedTime time;

        LoggedExchange(HttpExchange exchange, Entry entry, SimulatedTime time) {
            super(exchange);
            this.entry = entry;
            this.time = time;
        }

        private void record(int status) {
            if (entry.answeredAt != null) {
                throw new IllegalStateException(entry.node + ": " + method() + " " + path()
                        + " was answered twice, with status " + entry.status + " and " + status);
            }
            entry.answeredAt = time.now();
            entry.status = status;
        }

        @Override
        public void respond(int status, byte[] content) {
            record(status);
            super.respond(status, content);
        }

        @Override
        public void reject(int status, Duration retryAfter) {
            record(status);
            entry.retryDelayOfAtLeastOneSecond = retryAfter.compareTo(Duration.ofSeconds(1)) >= 0;
            super.reject(status, retryAfter);
        }
    }

    private final SimulatedTime time;
    private final List<Entry> entries = new ArrayList<>();

    ResponseLog(SimulatedTime time) {
        this.time = time;
    }

    /** Adds an entry for this request and returns an exchange that records the response in the entry. */
    HttpExchange recordRequest(String node, HttpExchange exchange) {
        Entry entry = new Entry(node, Kind.of(exchange), time.now());
        entries.add(entry);
        return new LoggedExchange(exchange, entry, time);
    }

    void clear() {
        entries.clear();
    }

    List<Entry> of(Kind kind) {
        return entries.stream().filter(entry -> entry.kind == kind).toList();
    }
}
