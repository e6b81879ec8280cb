package org.gullway.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;

/**
 * Takes workers' reports in turns of limited time. After a restart of all controllers every worker reports within a
 * second or two; without turns the answers of the state service waited behind them for five seconds, and with them
 * every commit (senderos-altos-fleet restart).
 */
public final class HeartbeatAdmission {
    private static final Duration LONGEST_TURN = Duration.ofMillis(20);
    private static final Duration PAUSE = Duration.ofMillis(10);
    /** Time for reports that each moment spent on anything else earns. */
    private static final int EARNED = 2;
    /** A worker gives a report up after 4 s. */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(3500);

    private final EventLoop loop;
    private final Consumer<HttpExchange> handler;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    /** Time that reports may take now; the last one of a turn may make it negative. */
    private Duration left = LONGEST_TURN;

    private Instant earnedAt;

    private record Waiting(HttpExchange exchange, Instant came) {}

    public HeartbeatAdmission(EventLoop loop, Consumer<HttpExchange> handler) {
        this.loop = loop;
        this.handler = handler;
        this.earnedAt = loop.now();
    }

    /** Handles the report now, or in one of the next turns. */
    public void admit(HttpExchange exchange) {
        if (waiting.isEmpty() && mayHandle()) {
            handle(exchange);
            return;
        }
        waiting.add(new Waiting(exchange, loop.now()));
        if (waiting.size() == 1) {
            loop.after(PAUSE, this::turn);
        }
    }

    private void turn() {
        while (!waiting.isEmpty() && mayHandle()) {
            Waiting next = waiting.poll();
            if (next.came().plus(LONGEST_WAIT).isBefore(loop.now())) {
                next.exchange().reject(503, Duration.ofSeconds(1));
            } else {
                handle(next.exchange());
            }
        }
        if (!waiting.isEmpty()) {
            loop.after(PAUSE, this::turn);
        }
    }

    private boolean mayHandle() {
        Instant now = loop.now();
        left = left.plus(Duration.between(earnedAt, now).multipliedBy(EARNED));
        left = left.compareTo(LONGEST_TURN) > 0 ? LONGEST_TURN : left;
        earnedAt = now;
        return !left.isNegative() && !left.isZero();
    }

    private void handle(HttpExchange exchange) {
        Instant began = loop.now();
        handler.accept(exchange);
        earnedAt = loop.now();
        left = left.minus(Duration.between(began, earnedAt));
    }
}
