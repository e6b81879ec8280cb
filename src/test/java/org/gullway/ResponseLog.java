package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.fake.ForwardingExchange;
import org.gullway.fake.SimulatedTime;
import org.gullway.transport.HttpExchange;

/** The responses of the controllers to every request at their public addresses, and their times. */
final class ResponseLog {
    /** The purpose of a request. */
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

    /** One request; until it is answered its status is 0 and the time of its response null. */
    static final class Entry {
        final String node;
        final Kind kind;
        final Instant receivedAt;
        private Instant answeredAt;
        private int status;
        private boolean retryAfter;

        private Entry(String node, Kind kind, Instant came) {
            this.node = node;
            this.kind = kind;
            this.receivedAt = came;
        }

        int status() {
            return status;
        }

        /** Whether the response says when to retry. */
        boolean hasRetryAfter() {
            return retryAfter;
        }

        /** How long the response took; the time until now, if there is none. */
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
                throw new IllegalStateException(path() + " is answered a second time");
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
            entry.retryAfter = retryAfter.compareTo(Duration.ofSeconds(1)) >= 0;
            super.reject(status, retryAfter);
        }
    }

    private final SimulatedTime time;
    private final List<Entry> entries = new ArrayList<>();

    ResponseLog(SimulatedTime time) {
        this.time = time;
    }

    HttpExchange logged(String node, HttpExchange exchange) {
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
