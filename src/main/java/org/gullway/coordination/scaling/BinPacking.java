package org.gullway.coordination.scaling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ResourceUsage;
import org.gullway.protocol.JobRequest;

/**
 * First-fit bin packing of tasks onto machines: first onto the free resources of machines that are up or booting, then
 * onto machines that would have to be provisioned, of the first compatible offering.
 */
final class BinPacking {
    /** Maximum number of new machines per packing, to bound its duration; the next packs the remaining tasks. */
    static final int MAX_NEW_MACHINES = 10_000;

    private static final double EPSILON = 1e-6;

    /** The free resources of one machine, which is up, booting or still to be provisioned. */
    private static final class Bin {
        private final MachineOffering offering;
        private double freeCpus;
        private double freeGpus;
        private double freeMemoryGb;

        Bin(MachineOffering offering, double freeCpus, double freeGpus, double freeMemoryGb) {
            this.offering = offering;
            this.freeCpus = freeCpus;
            this.freeGpus = freeGpus;
            this.freeMemoryGb = freeMemoryGb;
        }

        static Bin empty(MachineOffering offering) {
            return new Bin(
                    offering,
                    offering.type().cpus(),
                    offering.type().gpus(),
                    offering.type().memoryGb());
        }

        /** Packs as many of the tasks as fit and returns their number. */
        int pack(JobRequest job, int tasks) {
            if (!offering.isCompatible(job)) {
                return 0;
            }
            int packed = Math.min(tasks, tasksThatFit(freeCpus, job.cpus()));
            packed = Math.min(packed, tasksThatFit(freeGpus, job.gpus()));
            packed = Math.min(packed, tasksThatFit(freeMemoryGb, job.memoryGb()));
            freeCpus -= packed * job.cpus();
            freeGpus -= packed * job.gpus();
            freeMemoryGb -= packed * job.memoryGb();
            return packed;
        }

        private static int tasksThatFit(double free, double perTask) {
            return perTask <= 0 ? Integer.MAX_VALUE : (int) Math.max(0, (free + EPSILON) / perTask);
        }
    }

    private final List<MachineOffering> offerings;
    private final List<Bin> existingBins = new ArrayList<>();
    private final List<Bin> newBins = new ArrayList<>();

    /** @param offerings the offerings that can be provisioned, the most preferred first */
    BinPacking(List<MachineOffering> offerings) {
        this.offerings = offerings;
    }

    /** Adds a machine that is up or booting. */
    void add(MachineOffering machine, ResourceUsage used) {
        existingBins.add(new Bin(
                machine,
                machine.type().cpus() - used.cpus,
                machine.type().gpus() - used.gpus,
                machine.type().memoryGb() - used.memoryGb));
    }

    /** Packs as many of the tasks as possible and returns their number. */
    int pack(JobRequest job, int tasks) {
        int packed = packInto(existingBins, job, tasks);
        packed += packInto(newBins, job, tasks - packed);
        if (packed > 0) {
            existingBins.removeIf(bin -> bin.freeCpus <= EPSILON);
        }
        for (MachineOffering offering : offerings) {
            if (packed < tasks && offering.isCompatible(job)) {
                packed += packIntoNew(offering, job, tasks - packed);
            }
        }
        return packed;
    }

    private static int packInto(List<Bin> bins, JobRequest job, int tasks) {
        int packed = 0;
        for (int i = 0; i < bins.size() && packed < tasks; i++) {
            packed += bins.get(i).pack(job, tasks - packed);
        }
        return packed;
    }

    private int packIntoNew(MachineOffering offering, JobRequest job, int tasks) {
        int packed = 0;
        while (packed < tasks && newBins.size() < MAX_NEW_MACHINES) {
            Bin bin = Bin.empty(offering);
            packed += bin.pack(job, tasks - packed);
            newBins.add(bin);
        }
        return packed;
    }

    /** Number of machines of each offering that have to be provisioned for the packed tasks. */
    Map<MachineOffering, Integer> machinesToProvision() {
        Map<MachineOffering, Integer> counts = new LinkedHashMap<>();
        newBins.forEach(bin -> counts.merge(bin.offering, 1, Integer::sum));
        return counts;
    }
}
