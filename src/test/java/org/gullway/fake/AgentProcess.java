package org.gullway.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gullway.transport.EventLoop;

/** The process of an agent, which may hang or be killed. Tasks that become due while it hangs run when it resumes. */
final class AgentProcess {
    private final EventLoop loop;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean alive = true;
    private boolean hung;

    AgentProcess(EventLoop loop) {
        this.loop = loop;
    }

    boolean alive() {
        return alive;
    }

    boolean hung() {
        return hung;
    }

    void kill() {
        alive = false;
    }

    /** Makes the process hang for the duration. When it resumes, it runs the action and then all deferred tasks. */
    void hang(Duration duration, Runnable onResume) {
        hung = true;
        loop.after(duration, () -> {
            hung = false;
            if (!alive) {
                return;
            }
            onResume.run();
            List<Runnable> deferredTasks = List.copyOf(deferred);
            deferred.clear();
            deferredTasks.forEach(this::runIfAlive);
        });
    }

    /**
     * Runs the task after the delay, or when the process resumes if it hangs at that time. Running the returned handle
     * cancels the task if the delay has not passed.
     */
    Runnable after(Duration delay, Runnable task) {
        return loop.after(delay, () -> runWhenResponsive(task));
    }

    /** Runs the task immediately, or when the process resumes if it hangs. A killed process runs no tasks. */
    void runWhenResponsive(Runnable task) {
        if (hung) {
            deferred.add(task);
        } else {
            runIfAlive(task);
        }
    }

    private void runIfAlive(Runnable task) {
        if (alive) {
            task.run();
        }
    }
}
