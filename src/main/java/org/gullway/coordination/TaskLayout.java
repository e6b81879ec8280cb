package org.gullway.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;

/**
 * Lays tasks out on free room: first on that of machines that are there or coming, then on that of machines to be
 * rented, the cheapest kind that suits first.
 */
final class TaskLayout {
    /** New machines in one layout; the next one, half a second later, goes on with what was rented meanwhile. */
    static final int MOST_RENTED = 10_000;

    private static final double EPSILON = 1e-6;

    /** Free room of one machine. */
    private static final class Slot {
        private final Offering offering;
        private double cpus;
        private double cards;
        private double memoryGb;

        Slot(Offering offering, double cpus, double cards, double memoryGb) {
            this.offering = offering;
            this.cpus = cpus;
            this.cards = cards;
            this.memoryGb = memoryGb;
        }

        static Slot empty(Offering offering) {
            return new Slot(
                    offering,
                    offering.type().cpus(),
                    offering.type().cards(),
                    offering.type().memoryGb());
        }

        /** Takes room for up to so many tasks and returns for how many there was enough. */
        int take(JobRequest job, int most) {
            if (!offering.suits(job)) {
                return 0;
            }
            int taken = Math.min(most, fitting(cpus, job.cpus()));
            taken = Math.min(taken, fitting(cards, job.cards()));
            taken = Math.min(taken, fitting(memoryGb, job.memoryGb()));
            cpus -= taken * job.cpus();
            cards -= taken * job.cards();
            memoryGb -= taken * job.memoryGb();
            return taken;
        }

        private static int fitting(double room, double need) {
            return need <= 0 ? Integer.MAX_VALUE : (int) Math.max(0, (room + EPSILON) / need);
        }
    }

    private final List<Offering> offerings;
    private final List<Slot> present = new ArrayList<>();
    private final List<Slot> rented = new ArrayList<>();

    /** @param offerings what can be rented, the best first */
    TaskLayout(List<Offering> offerings) {
        this.offerings = offerings;
    }

    /** Adds a machine that is there or coming, of which so much is used. */
    void add(Offering machine, ClusterView.Room used) {
        present.add(new Slot(
                machine,
                machine.type().cpus() - used.cpus,
                machine.type().cards() - used.cards,
                machine.type().memoryGb() - used.memoryGb));
    }

    /** Lays out up to so many tasks and returns how many found a place. */
    int layOut(JobRequest job, int tasks) {
        int laid = fill(present, job, tasks);
        laid += fill(rented, job, tasks - laid);
        if (laid > 0) {
            present.removeIf(slot -> slot.cpus <= EPSILON);
        }
        for (Offering offering : offerings) {
            if (laid < tasks && offering.suits(job)) {
                laid += rentFor(job, tasks - laid, offering);
            }
        }
        return laid;
    }

    private static int fill(List<Slot> slots, JobRequest job, int tasks) {
        int laid = 0;
        for (int i = 0; i < slots.size() && laid < tasks; i++) {
            laid += slots.get(i).take(job, tasks - laid);
        }
        return laid;
    }

    private int rentFor(JobRequest job, int tasks, Offering offering) {
        int laid = 0;
        while (laid < tasks && rented.size() < MOST_RENTED) {
            Slot slot = Slot.empty(offering);
            laid += slot.take(job, tasks - laid);
            rented.add(slot);
        }
        return laid;
    }

    /** How many machines of each kind have to be rented for what was laid out. */
    Map<Offering, Integer> toRent() {
        Map<Offering, Integer> counts = new LinkedHashMap<>();
        rented.forEach(slot -> counts.merge(slot.offering, 1, Integer::sum));
        return counts;
    }
}
