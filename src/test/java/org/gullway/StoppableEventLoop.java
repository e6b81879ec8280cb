package org.gullway;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;

/** An event loop that can be stopped. Afterwards it discards new tasks and does not run those that it has accepted. */
final class StoppableEventLoop implements EventLoop {
    private final EventLoop loop;
    private volatile boolean stopped;

    StoppableEventLoop(EventLoop loop) {
        this.loop = loop;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public Instant now() {
        return loop.now();
    }

    @Override
    public void execute(Runnable task) {
        if (!stopped) {
            loop.execute(() -> runUnlessStopped(task));
        }
    }

    @Override
    public Runnable after(Duration delay, Runnable task) {
        return stopped ? () -> {} : loop.after(delay, () -> runUnlessStopped(task));
    }

    private void runUnlessStopped(Runnable task) {
        if (!stopped) {
            task.run();
        }
    }
}
