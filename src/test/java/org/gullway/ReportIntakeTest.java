package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.transport.Call;
import org.junit.jupiter.api.Test;

class ReportIntakeTest {
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.Process loop = time.process();
    private final List<Integer> answers = new ArrayList<>();
    private int handled;

    private Call report() {
        return new SimulatedNetwork.Message(
                "vm-000001", "POST", "/agent/beat", "", new byte[0], reply -> answers.add(reply.status()));
    }

    private ReportIntake intake(Duration each) {
        return new ReportIntake(loop, call -> {
            time.spend(each);
            handled++;
            call.answer(200, new byte[0]);
        });
    }

    @Test
    void handlesReportsAtOnceWhileThereIsTime() {
        ReportIntake intake = intake(Duration.ofMillis(1));
        for (int i = 0; i < 100; i++) {
            intake.take(report());
            time.spend(Duration.ofMillis(20));
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
            loop.after(Duration.ofMillis(10L * i), () -> delays.add(Duration.between(due, time.now())));
        }
        for (int i = 0; i < 1000; i++) {
            intake.take(report());
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
