package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The event loop of a production process: the only I/O thread of an XNIO worker. */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

    private final XnioIoThread thread;
    private final long startNanos = System.nanoTime();

    public XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** Returns whether the caller runs on this loop. All code that uses a controller's state must do so. */
    boolean isCurrent() {
        return Thread.currentThread() == thread;
    }

    XnioIoThread thread() {
        return thread;
    }

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(System.nanoTime() - startNanos);
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(() -> runAndLogErrors(task));
    }

    @Override
    public Runnable after(Duration delay, Runnable task) {
        XnioExecutor.Key key =
                thread.executeAfter(() -> runAndLogErrors(task), delay.toMillis(), TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** Runs a task and logs its exception, so that a failed task does not end the loop. */
    private static void runAndLogErrors(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("event loop task failed", e);
        }
    }
}
