package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class CommandWindowTest {
    private static final Duration QUICK = Duration.ofMillis(20);
    private static final Duration LATE = CommandWindow.SLOW.plusMillis(1);

    private final CommandWindow window = new CommandWindow();
    private Instant now = Instant.EPOCH;

    /** Sends one command and ends it after so long. */
    private void play(Duration took, boolean answered) {
        window.sent();
        Instant sent = now;
        now = now.plus(took);
        window.ended(sent, answered, now);
        now = now.plusMillis(1);
    }

    /** How many commands it lets go out at a time. */
    private int size() {
        int sent = 0;
        while (!window.isFull()) {
            window.sent();
            sent++;
        }
        for (int i = 0; i < sent; i++) {
            window.ended(now, false, now);
        }
        return sent;
    }

    @Test
    void quickAnswersKeepItOpen() {
        for (int i = 0; i < 500; i++) {
            play(QUICK, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.LARGEST);
        assertThat(window.onTheirWay()).isZero();
    }

    @Test
    void lateAnswersCloseItButNeverQuite() {
        play(LATE, true);
        assertThat(size()).isLessThan(CommandWindow.LARGEST);
        for (int i = 0; i < 50; i++) {
            play(LATE, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.SMALLEST);
    }

    @Test
    void itOpensAgainAnswerByAnswer() {
        for (int i = 0; i < 50; i++) {
            play(LATE, true);
        }
        for (int i = 0; i < 10; i++) {
            play(QUICK, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.SMALLEST + 10);
    }

    @Test
    void oneLateMomentCountsOnce() {
        int commands = 20;
        Instant sent = now;
        for (int i = 0; i < commands; i++) {
            window.sent();
        }
        now = now.plus(LATE);
        for (int i = 0; i < commands; i++) {
            window.ended(sent, true, now);
        }
        assertThat(size()).isEqualTo(CommandWindow.LARGEST * 3 / 4);
    }

    @Test
    void machinesThatDoNotAnswerLeaveItOpen() {
        for (int i = 0; i < 50; i++) {
            play(Duration.ofSeconds(4), false);
        }
        assertThat(size()).isEqualTo(CommandWindow.LARGEST);
    }
}
