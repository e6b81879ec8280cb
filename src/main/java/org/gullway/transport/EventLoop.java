package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;

/** The single thread on which everything in a controller runs. */
public interface EventLoop {
    /** The steady clock; it has no relation to the time of day. */
    Instant now();

    void execute(Runnable task);

    /** Runs the task once after the delay; the returned handle cancels it. */
    Runnable after(Duration delay, Runnable task);

    /** Runs the task again and again, with the pause between the end of one run and the next. */
    default void every(Duration pause, Runnable task) {
        after(pause, () -> {
            try {
                task.run();
            } finally {
                every(pause, task);
            }
        });
    }
}
