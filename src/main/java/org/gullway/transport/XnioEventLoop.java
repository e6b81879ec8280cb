package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The event loop of a real process: the one I/O thread of an XNIO worker. */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

    private final XnioIoThread thread;
    private final long origin = System.nanoTime();

    public XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** Whether the caller runs on this loop, as everything that reaches a controller's state has to. */
    boolean isCurrent() {
        return Thread.currentThread() == thread;
    }

    XnioIoThread thread() {
        return thread;
    }

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(System.nanoTime() - origin);
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(() -> guarded(task));
    }

    @Override
    public Runnable after(Duration delay, Runnable task) {
        XnioExecutor.Key key = thread.executeAfter(() -> guarded(task), delay.toMillis(), TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** A task that fails must not end the loop: the error is logged and the next task runs. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a task of the event loop failed", e);
        }
    }
}
