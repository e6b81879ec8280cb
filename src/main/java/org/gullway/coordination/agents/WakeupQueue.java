package org.gullway.coordination.agents;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * When machines have to be reconciled. Finding those that are due takes time in proportion to their number, not to the
 * number of all machines.
 */
final class WakeupQueue {
    private record Wakeup(Instant at, long order, String machine) implements Comparable<Wakeup> {
        @Override
        public int compareTo(Wakeup other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Wakeup> queue = new PriorityQueue<>();
    private long nextOrder;

    void add(String machine, Instant at) {
        queue.add(new Wakeup(at, nextOrder++, machine));
    }

    /**
     * Takes out all entries that are due by now, the earliest first. A machine may be among them several times, and may
     * have been reconciled since it was added.
     */
    List<String> pollDue(Instant now) {
        List<String> due = new ArrayList<>();
        while (!queue.isEmpty() && !queue.peek().at().isAfter(now)) {
            due.add(queue.poll().machine());
        }
        return due;
    }

    /** Entries that are not due yet. */
    int size() {
        return queue.size();
    }
}
