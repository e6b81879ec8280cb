package org.gullway.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.transport.HttpExchange;
import org.junit.jupiter.api.Test;

class HeartbeatAdmissionTest {
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.Process loop = time.process();
    private final List<Integer> answers = new ArrayList<>();
    private int handled;

    private HttpExchange report() {
        return new SimulatedNetwork.Message(
                "vm-000001", "POST", "/agent/beat", "", new byte[0], response -> answers.add(response.status()));
    }

    private HeartbeatAdmission intake(Duration each) {
        return new HeartbeatAdmission(loop, exchange -> {
            time.advance(each);
            handled++;
            exchange.respond(200, new byte[0]);
        });
    }

    @Test
    void handlesReportsAtOnceWhileThereIsTime() {
        HeartbeatAdmission intake = intake(Duration.ofMillis(1));
        for (int i = 0; i < 100; i++) {
            intake.admit(report());
            time.advance(Duration.ofMillis(20));
            assertThat(handled).isEqualTo(i + 1);
        }
    }

    /** A thousand reports at once: what else is due never waits for more than one turn, and all are answered in order. */
    @Test
    void aFloodOfReportsDoesNotHoldUpTheRest() {
        HeartbeatAdmission intake = intake(Duration.ofMillis(3));
        List<Duration> delays = new ArrayList<>();
        for (int i = 1; i <= 300; i++) {
            Instant due = Instant.EPOCH.plusMillis(10L * i);
            loop.after(Duration.ofMillis(10L * i), () -> delays.add(Duration.between(due, time.now())));
        }
        for (int i = 0; i < 1000; i++) {
            intake.admit(report());
        }
        time.runUntil(Instant.EPOCH.plusSeconds(10));
        assertThat(delays).hasSize(300).allSatisfy(d -> assertThat(d).isLessThan(Duration.ofMillis(30)));
        assertThat(answers).hasSize(1000);
        assertThat(answers.stream().filter(status -> status == 503))
                .as("given up by their workers")
                .isNotEmpty();
        assertThat(handled).as("of 3.5 s, two thirds").isGreaterThan(700);
    }
}
