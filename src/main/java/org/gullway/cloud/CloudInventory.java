package org.gullway.cloud;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.scaling.ProvisioningRequest;
import org.gullway.protocol.CloudMessages.ListedMachine;

/**
 * The machines of the cloud provider whose state differs from the records in the state store: provisioned machines
 * without a record, failed machines, and machines that were released recently.
 */
final class CloudInventory {
    /** How long released machines are ignored in the provider's list, which lags and may still contain them. */
    private static final Duration RELEASED_RETENTION = Duration.ofMinutes(2);

    private final ClusterState clusterState;
    private final Map<String, UnrecordedMachine> unrecorded = new LinkedHashMap<>();
    /** Machines that have failed according to the provider and are not released yet. */
    private final Set<String> failed = new LinkedHashSet<>();

    private final Map<String, Instant> releasedAt = new HashMap<>();

    CloudInventory(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    void onProvisioned(List<String> machines, ProvisioningRequest request) {
        UnrecordedMachine machine = new UnrecordedMachine(request.type(), request.zone(), request.spot(), null);
        machines.forEach(name -> unrecorded.put(name, machine));
    }

    /**
     * Compares the provider's complete list with the records.
     *
     * @param now the time of the monotonic clock
     * @param wallClockTime the time of the wall clock
     */
    void onListed(List<ListedMachine> machines, Instant now, Instant wallClockTime) {
        releasedAt.values().removeIf(at -> at.plus(RELEASED_RETENTION).isBefore(now));
        failed.clear();
        for (ListedMachine machine : machines) {
            String name = machine.name();
            if (releasedAt.containsKey(name)) {
                continue;
            }
            if (machine.failed()) {
                failed.add(name);
            } else if (clusterState.machine(name) == null && !unrecorded.containsKey(name)) {
                unrecorded.put(
                        name,
                        new UnrecordedMachine(
                                machine.type(), machine.zone(), machine.spot(), wallClockTime.minus(machine.age())));
            }
        }
    }

    void onReleased(List<String> machines, Instant now) {
        for (String name : machines) {
            releasedAt.put(name, now);
            failed.remove(name);
        }
    }

    /** Removes the machines that have a record now from the unrecorded machines. */
    void removeRecorded() {
        unrecorded.keySet().removeIf(name -> clusterState.machine(name) != null);
    }

    Map<String, UnrecordedMachine> unrecorded() {
        return unrecorded;
    }

    boolean hasUnrecorded() {
        return !unrecorded.isEmpty();
    }

    Set<String> failed() {
        return failed;
    }

    Set<String> released() {
        return releasedAt.keySet();
    }

    /** Returns the failed machines that have no record, in the order of the provider's list. */
    Set<String> failedWithoutRecord() {
        Set<String> names = new LinkedHashSet<>();
        for (String name : failed) {
            if (clusterState.machine(name) == null) {
                names.add(name);
            }
        }
        return names;
    }
}
