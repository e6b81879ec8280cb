package org.gullway.coordination.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The zones of the other controllers of the deployment, and the cancel limit, as configured: the settings by which a
 * machine in a zone that is cut off by a network partition is kept or declared lost.
 *
 * @param zoneByPeer the zone of each other controller, by the controller's name
 * @param cancellationLimit how long after its cancellation a job may still have tasks on a machine
 */
public record NetworkPartitionSettings(Map<String, String> zoneByPeer, Duration cancellationLimit) {
    /** Names of the other controllers in the zone. */
    public List<String> inZone(String zone) {
        return zoneByPeer.entrySet().stream()
                .filter(peer -> peer.getValue().equals(zone))
                .map(Map.Entry::getKey)
                .toList();
    }
}
