package org.gullway.coordination.scaling;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ResourceUsage;
import org.gullway.coordination.placement.FreeResources;
import org.gullway.protocol.JobRequest;

/**
 * First-fit bin packing of tasks onto machines: first onto the free resources of machines that are up or booting, then
 * onto machines that would have to be provisioned, of the first compatible offering.
 */
final class BinPacking {
    /** Maximum number of new machines per packing, to bound its duration; the next packs the remaining tasks. */
    static final int MAX_NEW_MACHINES = 10_000;

    /** The free resources of one machine, which is up, booting or still to be provisioned. */
    private record Bin(MachineOffering offering, FreeResources free) {
        /** Packs as many of the tasks as fit and returns their number. */
        int pack(JobRequest job, int tasks) {
            if (!offering.isCompatible(job)) {
                return 0;
            }
            int packed = Math.min(tasks, free.fittingTasks(job));
            free.reserve(job, packed);
            return packed;
        }

        boolean isFull() {
            return free.usableCpus() <= EPSILON;
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
        existingBins.add(new Bin(machine, FreeResources.of(machine.type(), used)));
    }

    /** Packs as many of the tasks as possible and returns their number. */
    int pack(JobRequest job, int tasks) {
        int packed = packInto(existingBins, job, tasks);
        packed += packInto(newBins, job, tasks - packed);
        if (packed > 0) {
            existingBins.removeIf(Bin::isFull);
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
            Bin bin = new Bin(offering, FreeResources.ofEmpty(offering.type()));
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
