package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class CommandWindowTest {
    private static final Duration QUICK = Duration.ofMillis(20);
    private static final Duration LATE = CommandWindow.SLOW_RESPONSE.plusMillis(1);

    private final CommandWindow window = new CommandWindow();
    private Instant now = Instant.EPOCH;

    /** Sends one command and ends it after so long. */
    private void play(Duration took, boolean answered) {
        window.onSent();
        Instant sent = now;
        now = now.plus(took);
        window.onOutcome(sent, answered, now);
        now = now.plusMillis(1);
    }

    /** How many commands it lets go out at a time. */
    private int size() {
        int sent = 0;
        while (!window.isFull()) {
            window.onSent();
            sent++;
        }
        for (int i = 0; i < sent; i++) {
            window.onOutcome(now, false, now);
        }
        return sent;
    }

    @Test
    void quickAnswersKeepItOpen() {
        for (int i = 0; i < 500; i++) {
            play(QUICK, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.MAX_SIZE);
        assertThat(window.inFlight()).isZero();
    }

    @Test
    void lateAnswersCloseItButNeverQuite() {
        play(LATE, true);
        assertThat(size()).isLessThan(CommandWindow.MAX_SIZE);
        for (int i = 0; i < 50; i++) {
            play(LATE, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.MIN_SIZE);
    }

    @Test
    void itOpensAgainAnswerByAnswer() {
        for (int i = 0; i < 50; i++) {
            play(LATE, true);
        }
        for (int i = 0; i < 10; i++) {
            play(QUICK, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.MIN_SIZE + 10);
    }

    @Test
    void oneLateMomentCountsOnce() {
        int commands = 20;
        Instant sent = now;
        for (int i = 0; i < commands; i++) {
            window.onSent();
        }
        now = now.plus(LATE);
        for (int i = 0; i < commands; i++) {
            window.onOutcome(sent, true, now);
        }
        assertThat(size()).isEqualTo(CommandWindow.MAX_SIZE * 3 / 4);
    }

    @Test
    void machinesThatDoNotAnswerLeaveItOpen() {
        for (int i = 0; i < 50; i++) {
            play(Duration.ofSeconds(4), false);
        }
        assertThat(size()).isEqualTo(CommandWindow.MAX_SIZE);
    }
}
