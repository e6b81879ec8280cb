package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class CommandWindowTest {
    private static final Duration FAST = Duration.ofMillis(20);
    private static final Duration SLOW = CommandWindow.SLOW_RESPONSE.plusMillis(1);

    private final CommandWindow window = new CommandWindow();
    private Instant now = Instant.EPOCH;

    /** Sends one command batch whose outcome comes after this time. */
    private void sendAndComplete(Duration elapsed, boolean answered) {
        window.onSent();
        Instant sentAt = now;
        now = now.plus(elapsed);
        window.onOutcome(sentAt, answered, now);
        now = now.plusMillis(1);
    }

    /** Returns how many command batches may be in flight. */
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
    void fastResponsesKeepTheMaximumSize() {
        for (int i = 0; i < 500; i++) {
            sendAndComplete(FAST, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.MAX_SIZE);
        assertThat(window.inFlight()).isZero();
    }

    @Test
    void slowResponsesDecreaseTheSizeToTheMinimum() {
        sendAndComplete(SLOW, true);
        assertThat(size()).isLessThan(CommandWindow.MAX_SIZE);
        for (int i = 0; i < 50; i++) {
            sendAndComplete(SLOW, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.MIN_SIZE);
    }

    @Test
    void eachFastResponseIncreasesTheSizeByOne() {
        for (int i = 0; i < 50; i++) {
            sendAndComplete(SLOW, true);
        }
        for (int i = 0; i < 10; i++) {
            sendAndComplete(FAST, true);
        }
        assertThat(size()).isEqualTo(CommandWindow.MIN_SIZE + 10);
    }

    @Test
    void slowResponsesToBatchesSentTogetherDecreaseTheSizeOnce() {
        int commands = 20;
        Instant sentAt = now;
        for (int i = 0; i < commands; i++) {
            window.onSent();
        }
        now = now.plus(SLOW);
        for (int i = 0; i < commands; i++) {
            window.onOutcome(sentAt, true, now);
        }
        assertThat(size()).isEqualTo(CommandWindow.MAX_SIZE * 3 / 4);
    }

    @Test
    void missingResponsesDoNotChangeTheSize() {
        for (int i = 0; i < 50; i++) {
            sendAndComplete(Duration.ofSeconds(4), false);
        }
        assertThat(size()).isEqualTo(CommandWindow.MAX_SIZE);
    }
}
