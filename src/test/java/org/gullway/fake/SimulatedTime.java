package org.gullway.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import org.gullway.transport.EventLoop;

/** Virtual time. Runs tasks in the order of their due times and advances the clock to the due time of each task. */
public final class SimulatedTime {
    private record ScheduledTask(Instant at, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private Instant now = Instant.EPOCH;
    private long sequence;

    /** The event loop of one simulated process. After {@link #kill()} it runs no more tasks. */
    public final class SimulatedProcess implements EventLoop {
        private boolean killed;
        private Instant frozenUntil = Instant.EPOCH;

        @Override
        public Instant now() {
            return now;
        }

        @Override
        public void execute(Runnable task) {
            after(Duration.ZERO, task);
        }

        @Override
        public Runnable after(Duration delay, Runnable task) {
            boolean[] cancelled = new boolean[1];
            queue.add(new ScheduledTask(
                    now.plus(delay.isNegative() ? Duration.ZERO : delay),
                    sequence++,
                    () -> runOrPostpone(task, cancelled)));
            return () -> cancelled[0] = true;
        }

        private void runOrPostpone(Runnable task, boolean[] cancelled) {
            if (killed || cancelled[0]) {
                return;
            }
            if (isFrozen()) {
                queue.add(new ScheduledTask(frozenUntil, sequence++, () -> runOrPostpone(task, cancelled)));
            } else {
                task.run();
            }
        }

        /**
         * Freezes the process for the duration while the clock advances. Afterwards it runs the tasks that became due,
         * in order.
         */
        public void freeze(Duration duration) {
            frozenUntil = now.plus(duration);
        }

        public boolean isFrozen() {
            return now.isBefore(frozenUntil);
        }

        public void kill() {
            killed = true;
        }

        public boolean killed() {
            return killed;
        }
    }

    public SimulatedProcess newProcess() {
        return new SimulatedProcess();
    }

    public Instant now() {
        return now;
    }

    public void runUntil(Instant end) {
        while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
            ScheduledTask next = queue.poll();
            now = next.at().isAfter(now) ? next.at() : now;
            next.task().run();
        }
        now = end.isAfter(now) ? end : now;
    }

    /**
     * Advances the clock within the current task, as if the task took this long. Tasks that become due meanwhile run
     * after it.
     */
    public void advance(Duration duration) {
        now = now.plus(duration);
    }
}
