package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.MachineType;

/** The machine offerings that can be provisioned now; excludes those of which the provider recently had too few. */
final class AvailableOfferings {
    private static final Duration EXHAUSTED_BACKOFF = Duration.ofSeconds(10);

    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    /** Offerings of which the cloud provider had too few, with the end of their back-off. */
    private final Map<MachineOffering, Instant> exhaustedUntil = new HashMap<>();

    AvailableOfferings(ClusterState clusterState, MachineTypeCatalog machineTypes) {
        this.clusterState = clusterState;
        this.machineTypes = machineTypes;
    }

    /** Excludes an offering for the back-off period after the provider provisioned fewer machines than requested. */
    void onExhausted(ProvisioningRequest request, Instant now) {
        MachineType type = machineTypes.byName().get(request.type());
        if (type != null) {
            exhaustedUntil.put(new MachineOffering(type, request.zone(), request.spot()), now.plus(EXHAUSTED_BACKOFF));
        }
    }

    /** All available offerings by price per processor; of equal price, the zone with the fewest machines first. */
    List<MachineOffering> byPrice(Instant now) {
        exhaustedUntil.values().removeIf(until -> !now.isBefore(until));
        List<MachineOffering> offerings = allOfferings();
        offerings.removeIf(exhaustedUntil::containsKey);
        Map<String, Integer> machinesByZone = countMachinesByZone();
        offerings.sort(Comparator.comparingDouble(MachineOffering::pricePerCpu)
                .thenComparing(offering -> machinesByZone.getOrDefault(offering.zone(), 0))
                .thenComparing(offering -> offering.type().name())
                .thenComparing(MachineOffering::zone));
        return offerings;
    }

    private List<MachineOffering> allOfferings() {
        List<MachineOffering> offerings = new ArrayList<>();
        for (MachineType type : machineTypes.byName().values()) {
            for (String zone : type.zones()) {
                offerings.add(new MachineOffering(type, zone, true));
                offerings.add(new MachineOffering(type, zone, false));
            }
        }
        return offerings;
    }

    private Map<String, Integer> countMachinesByZone() {
        Map<String, Integer> counts = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            counts.merge(machine.zone(), 1, Integer::sum);
        }
        return counts;
    }
}
