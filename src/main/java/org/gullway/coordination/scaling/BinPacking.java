package org.gullway.coordination.scaling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.protocol.JobRequest;

/**
 * Lays tasks out on free room: first on that of machines that are there or coming, then on that of machines to be
 * rented, the cheapest kind that suits first.
 */
final class BinPacking {
    /** New machines in one layout; the next one, half a second later, goes on with what was rented meanwhile. */
    static final int MAX_PROVISIONED = 10_000;

    private static final double EPSILON = 1e-6;

    /** Free room of one machine. */
    private static final class Slot {
        private final MachineOffering offering;
        private double cpus;
        private double cards;
        private double memoryGb;

        Slot(MachineOffering offering, double cpus, double cards, double memoryGb) {
            this.offering = offering;
            this.cpus = cpus;
            this.cards = cards;
            this.memoryGb = memoryGb;
        }

        static Slot empty(MachineOffering offering) {
            return new Slot(
                    offering,
                    offering.type().cpus(),
                    offering.type().gpus(),
                    offering.type().memoryGb());
        }

        /** Takes room for up to so many tasks and returns for how many there was enough. */
        int take(JobRequest job, int most) {
            if (!offering.isCompatible(job)) {
                return 0;
            }
            int taken = Math.min(most, fitting(cpus, job.cpus()));
            taken = Math.min(taken, fitting(cards, job.gpus()));
            taken = Math.min(taken, fitting(memoryGb, job.memoryGb()));
            cpus -= taken * job.cpus();
            cards -= taken * job.gpus();
            memoryGb -= taken * job.memoryGb();
            return taken;
        }

        private static int fitting(double room, double need) {
            return need <= 0 ? Integer.MAX_VALUE : (int) Math.max(0, (room + EPSILON) / need);
        }
    }

    private final List<MachineOffering> offerings;
    private final List<Slot> present = new ArrayList<>();
    private final List<Slot> provisioned = new ArrayList<>();

    /** @param offerings what can be rented, the best first */
    BinPacking(List<MachineOffering> offerings) {
        this.offerings = offerings;
    }

    /** Adds a machine that is there or coming, of which so much is used. */
    void add(MachineOffering machine, ClusterState.ResourceUsage used) {
        present.add(new Slot(
                machine,
                machine.type().cpus() - used.cpus,
                machine.type().gpus() - used.gpus,
                machine.type().memoryGb() - used.memoryGb));
    }

    /** Lays out up to so many tasks and returns how many found a place. */
    int pack(JobRequest job, int tasks) {
        int laid = fill(present, job, tasks);
        laid += fill(provisioned, job, tasks - laid);
        if (laid > 0) {
            present.removeIf(slot -> slot.cpus <= EPSILON);
        }
        for (MachineOffering offering : offerings) {
            if (laid < tasks && offering.isCompatible(job)) {
                laid += provisionFor(job, tasks - laid, offering);
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

    private int provisionFor(JobRequest job, int tasks, MachineOffering offering) {
        int laid = 0;
        while (laid < tasks && provisioned.size() < MAX_PROVISIONED) {
            Slot slot = Slot.empty(offering);
            laid += slot.take(job, tasks - laid);
            provisioned.add(slot);
        }
        return laid;
    }

    /** How many machines of each kind have to be rented for what was laid out. */
    Map<MachineOffering, Integer> machinesToProvision() {
        Map<MachineOffering, Integer> counts = new LinkedHashMap<>();
        provisioned.forEach(slot -> counts.merge(slot.offering, 1, Integer::sum));
        return counts;
    }
}
