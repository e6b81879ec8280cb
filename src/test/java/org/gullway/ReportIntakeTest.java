package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.gullway.standin.SimulatedNetwork;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;
import org.junit.jupiter.api.Test;

class ReportIntakeTest {
    /** A loop on which handling a report takes time; what is due meanwhile runs as soon as the loop is free. */
    private static final class BusyLoop implements EventLoop {
        private Instant now = Instant.EPOCH;
        private int count;
        private final PriorityQueue<Timer> timers = new PriorityQueue<>();

        private record Timer(Instant at, int order, Runnable task) implements Comparable<Timer> {
            @Override
            public int compareTo(Timer other) {
                int byTime = at.compareTo(other.at);
                return byTime != 0 ? byTime : Integer.compare(order, other.order);
            }
        }

        @Override
        public Instant now() {
            return now;
        }

        @Override
        public void execute(Runnable task) {
            after(Duration.ZERO, task);
        }

        @Override
        public Runnable after(Duration delay, Runnable task) {
            Timer timer = new Timer(now.plus(delay), count++, task);
            timers.add(timer);
            return () -> timers.remove(timer);
        }

        void runUntil(Instant end) {
            while (!timers.isEmpty() && !timers.peek().at().isAfter(end)) {
                Timer next = timers.poll();
                now = next.at().isAfter(now) ? next.at() : now;
                next.task().run();
            }
        }
    }

    private final BusyLoop loop = new BusyLoop();
    private final List<Integer> answers = new ArrayList<>();
    private int handled;

    private Call report() {
        return new SimulatedNetwork.Message("POST", "/agent/beat", "", new byte[0], reply -> answers.add(reply.status()));
    }

    private ReportIntake intake(Duration each) {
        return new ReportIntake(loop, call -> {
            loop.now = loop.now.plus(each);
            handled++;
            call.answer(200, new byte[0]);
        });
    }

    @Test
    void handlesReportsAtOnceWhileThereIsTime() {
        ReportIntake intake = intake(Duration.ofMillis(1));
        for (int i = 0; i < 100; i++) {
            intake.take(report());
            loop.now = loop.now.plusMillis(20);
            assertThat(handled).isEqualTo(i + 1);
        }
    }

    /** A thousand reports at once: what else is due never waits for more than one turn, and all are answered in order. */
    @Test
    void aFloodOfReportsDoesNotHoldUpTheRest() {
        ReportIntake intake = intake(Duration.ofMillis(3));
        List<Duration> delays = new ArrayList<>();
        for (int i = 1; i <= 300; i++) {
            Instant due = Instant.EPOCH.plusMillis(10L * i);
            loop.after(Duration.ofMillis(10L * i), () -> delays.add(Duration.between(due, loop.now)));
        }
        for (int i = 0; i < 1000; i++) {
            intake.take(report());
        }
        loop.runUntil(Instant.EPOCH.plusSeconds(10));
        assertThat(delays).hasSize(300).allSatisfy(d -> assertThat(d).isLessThan(Duration.ofMillis(30)));
        assertThat(answers).hasSize(1000);
        assertThat(answers.stream().filter(status -> status == 503)).as("given up by their workers").isNotEmpty();
        assertThat(handled).as("of 3.5 s, two thirds").isGreaterThan(700);
    }
}
