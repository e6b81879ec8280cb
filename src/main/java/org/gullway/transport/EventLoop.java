package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * The single thread on which everything in a controller runs. No task may block it. State that is reached from the loop is
 * reached from nowhere else, so nothing of it is synchronized.
 */
public interface EventLoop {
    /** The monotonic clock; it has no relation to wall-clock time, which is passed as an {@code InstantSource}. */
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
