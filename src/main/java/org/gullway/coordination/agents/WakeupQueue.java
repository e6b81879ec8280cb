package org.gullway.coordination.agents;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Schedules when machines are reconciled. Polling the due machines takes time in proportion to the number of due
 * machines (times a logarithm), not to the number of all machines.
 */
final class WakeupQueue {
    private record Wakeup(Instant at, long sequence, String machine) implements Comparable<Wakeup> {
        @Override
        public int compareTo(Wakeup other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Wakeup> queue = new PriorityQueue<>();
    private long nextSequence;

    void add(String machine, Instant at) {
        queue.add(new Wakeup(at, nextSequence++, machine));
    }

    /**
     * Removes all entries that are due and returns their machines, the earliest first. A machine may be listed several
     * times, and it may have been reconciled since its entry was added.
     */
    List<String> pollDue(Instant now) {
        List<String> due = new ArrayList<>();
        while (!queue.isEmpty() && !queue.peek().at().isAfter(now)) {
            due.add(queue.poll().machine());
        }
        return due;
    }

    /** Returns the number of entries that have not been polled. */
    int size() {
        return queue.size();
    }
}
