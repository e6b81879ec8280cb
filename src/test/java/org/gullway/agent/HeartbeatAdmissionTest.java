package org.gullway.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;
import org.junit.jupiter.api.Test;

class HeartbeatAdmissionTest {
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private final List<Integer> responses = new ArrayList<>();
    private int handled;

    private HttpExchange heartbeat() {
        return new SimulatedNetwork.Message(
                "vm-000001", "POST", "/agent/beat", "", new byte[0], response -> responses.add(response.status()));
    }

    private HeartbeatAdmission admission(Duration handlingTime) {
        return new HeartbeatAdmission(loop, exchange -> {
            time.advance(handlingTime);
            handled++;
            exchange.respond(HttpStatus.OK, new byte[0]);
        });
    }

    @Test
    void handlesHeartbeatsImmediatelyWithinTheBudget() {
        HeartbeatAdmission admission = admission(Duration.ofMillis(1));
        for (int i = 0; i < 100; i++) {
            admission.admit(heartbeat());
            time.advance(Duration.ofMillis(20));
            assertThat(handled).isEqualTo(i + 1);
        }
    }

    /**
     * Guards against a queue that is never handled again: the exception of one queued heartbeat ended the handling of
     * the queue, and with it of all later heartbeats.
     */
    @Test
    void exceptionOfAQueuedHeartbeatIsAnsweredAndTheOthersAreHandled() {
        HeartbeatAdmission admission = new HeartbeatAdmission(loop, exchange -> {
            time.advance(Duration.ofMillis(15));
            handled++;
            if (handled == 3) {
                throw new IllegalStateException("expected test failure");
            }
            exchange.respond(HttpStatus.OK, new byte[0]);
        });
        for (int i = 0; i < 10; i++) {
            admission.admit(heartbeat());
        }
        // The event loop of a real process logs an exception and goes on.
        Throwable thrown = catchThrowable(() -> time.runUntil(Instant.EPOCH.plusSeconds(2)));
        time.runUntil(Instant.EPOCH.plusSeconds(3));
        admission.admit(heartbeat());
        time.runUntil(Instant.EPOCH.plusSeconds(4));
        assertThat(handled).isEqualTo(11);
        assertThat(responses).hasSize(11).containsOnlyOnce(HttpStatus.SERVICE_UNAVAILABLE);
        assertThat(thrown).isNull();
    }

    /**
     * Without a limit, 1000 heartbeats that arrive simultaneously would occupy the event loop for 3 s, and all other
     * tasks would wait behind them.
     */
    @Test
    void manySimultaneousHeartbeatsDoNotDelayOtherTasks() {
        HeartbeatAdmission admission = admission(Duration.ofMillis(3));
        List<Duration> delays = new ArrayList<>();
        for (int i = 1; i <= 300; i++) {
            Instant due = Instant.EPOCH.plusMillis(10L * i);
            loop.after(Duration.ofMillis(10L * i), () -> delays.add(Duration.between(due, time.now())));
        }
        for (int i = 0; i < 1000; i++) {
            admission.admit(heartbeat());
        }
        time.runUntil(Instant.EPOCH.plusSeconds(10));
        assertThat(delays).hasSize(300).allSatisfy(d -> assertThat(d).isLessThan(Duration.ofMillis(30)));
        assertThat(responses).hasSize(1000);
        assertThat(responses.stream().filter(status -> status == HttpStatus.SERVICE_UNAVAILABLE))
                .as("heartbeats rejected after the maximum queue time")
                .isNotEmpty();
        assertThat(handled)
                .as("heartbeats handled in two thirds of the maximum queue time")
                .isGreaterThan(700);
    }
}
