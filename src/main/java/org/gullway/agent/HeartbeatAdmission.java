package org.gullway.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the share of the event loop's time that is spent on heartbeats, and queues the heartbeats that exceed it.
 * After a restart of all controllers all agents send a heartbeat simultaneously. Without the limit, the responses of
 * the state store, and with them every transaction, would wait until all these heartbeats are handled.
 */
public final class HeartbeatAdmission {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatAdmission.class);
    private static final Duration MAX_BUDGET = Duration.ofMillis(20);
    private static final Duration QUEUE_CHECK_INTERVAL = Duration.ofMillis(10);
    /**
     * Each millisecond in which no heartbeat is handled adds this many milliseconds to the budget, so heartbeats take
     * up to two thirds of the event loop's time.
     */
    private static final int REFILL_FACTOR = 2;
    /** Heartbeats queued for longer are rejected. This limit is below the agents' timeout for a heartbeat response. */
    private static final Duration MAX_QUEUE_TIME = Duration.ofMillis(3500);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Consumer<HttpExchange> handler;
    private final Deque<QueuedHeartbeat> queue = new ArrayDeque<>();
    /**
     * Time that may be spent on heartbeats now. Negative after a heartbeat that took longer than the remaining budget.
     */
    private Duration budget = MAX_BUDGET;

    private Instant budgetRefilledAt;

    private record QueuedHeartbeat(HttpExchange exchange, Instant receivedAt) {}

    public HeartbeatAdmission(EventLoop loop, Consumer<HttpExchange> handler) {
        this.loop = loop;
        this.handler = handler;
        this.budgetRefilledAt = loop.now();
    }

    /** Handles the heartbeat now or, if the budget is exhausted, later and in the order of arrival. */
    public void admit(HttpExchange exchange) {
        if (queue.isEmpty() && hasBudget()) {
            handle(exchange);
            return;
        }
        queue.add(new QueuedHeartbeat(exchange, loop.now()));
        if (queue.size() == 1) {
            loop.after(QUEUE_CHECK_INTERVAL, this::handleQueued);
        }
    }

    private void handleQueued() {
        while (!queue.isEmpty() && hasBudget()) {
            QueuedHeartbeat next = queue.poll();
            if (next.receivedAt().plus(MAX_QUEUE_TIME).isBefore(loop.now())) {
                next.exchange().reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
            } else {
                handle(next.exchange());
            }
        }
        if (!queue.isEmpty()) {
            loop.after(QUEUE_CHECK_INTERVAL, this::handleQueued);
        }
    }

    private boolean hasBudget() {
        Instant now = loop.now();
        budget = budget.plus(Duration.between(budgetRefilledAt, now).multipliedBy(REFILL_FACTOR));
        budget = budget.compareTo(MAX_BUDGET) > 0 ? MAX_BUDGET : budget;
        budgetRefilledAt = now;
        return !budget.isNegative() && !budget.isZero();
    }

    private void handle(HttpExchange exchange) {
        Instant startedAt = loop.now();
        try {
            handler.accept(exchange);
        } catch (RuntimeException e) {
            // Must not leave handleQueued, since only its end schedules its next run.
            LOG.error("could not handle a heartbeat", e);
            exchange.reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
        }
        budgetRefilledAt = loop.now();
        budget = budget.minus(Duration.between(startedAt, budgetRefilledAt));
    }
}
