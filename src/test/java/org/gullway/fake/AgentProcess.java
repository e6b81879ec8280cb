package org.gullway.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gullway.transport.EventLoop;

/** The process of an agent, which may hang or be killed: what comes due while it hangs runs when it resumes. */
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

    /** Hangs for this span; the action comes before everything that was deferred. */
    void hang(Duration span, Runnable onResume) {
        hung = true;
        loop.after(span, () -> {
            hung = false;
            if (!alive) {
                return;
            }
            onResume.run();
            List<Runnable> missed = List.copyOf(deferred);
            deferred.clear();
            missed.forEach(this::runIfAlive);
        });
    }

    /** Runs the task after the delay, later if the process hangs then; the returned handle cancels it. */
    Runnable after(Duration delay, Runnable task) {
        return loop.after(delay, () -> runUnlessHung(task));
    }

    /** Runs the task now, or on resuming; a killed process runs nothing. */
    void runUnlessHung(Runnable task) {
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
