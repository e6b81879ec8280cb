package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * The event loop of a controller: one thread that runs all of its tasks. A task must not block. State that is used by
 * tasks of the loop is not used by any other thread, so it needs no synchronization.
 */
public interface EventLoop {
    /**
     * Returns the time of the monotonic clock. It is unrelated to the wall clock, which is passed as an
     * {@code InstantSource}.
     */
    Instant now();

    void execute(Runnable task);

    /** Runs the task once after the delay. Running the returned handle cancels the task. */
    Runnable after(Duration delay, Runnable task);

    /** Runs the task repeatedly, with the pause between the end of one run and the start of the next. */
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
