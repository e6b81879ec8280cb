package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The single thread on which everything in a controller runs.
 *
 * <p>{@link #now()} is the steady clock; it has no relation to the time of day.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private final XnioIoThread thread;
    private final long origin = System.nanoTime();

    public EventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    XnioIoThread thread() {
        return thread;
    }

    public Instant now() {
        return Instant.EPOCH.plusNanos(System.nanoTime() - origin);
    }

    public void execute(Runnable task) {
        thread.execute(() -> guarded(task));
    }

    /** Runs the task once after the delay; the returned handle cancels it. */
    public Runnable after(Duration delay, Runnable task) {
        XnioExecutor.Key key = thread.executeAfter(() -> guarded(task), delay.toMillis(), TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** Runs the task again and again, with the pause between the end of one run and the next. */
    public void every(Duration pause, Runnable task) {
        after(pause, () -> {
            try {
                task.run();
            } finally {
                every(pause, task);
            }
        });
    }

    /** A task that fails must not end the loop: the fault is logged and the next task runs. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a task of the event loop failed", e);
        }
    }
}
