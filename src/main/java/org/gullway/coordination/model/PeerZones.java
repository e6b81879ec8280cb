package org.gullway.coordination.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The other controllers of the deployment, with their zones, as configured.
 *
 * @param zoneByPeer the zone of each other controller, by the controller's name
 * @param cancelLimit how long after its cancellation a job may still have tasks on a machine
 */
public record PeerZones(Map<String, String> zoneByPeer, Duration cancelLimit) {
    /** Names of the other controllers in the zone. */
    public List<String> inZone(String zone) {
        return zoneByPeer.entrySet().stream()
                .filter(peer -> peer.getValue().equals(zone))
                .map(Map.Entry::getKey)
                .toList();
    }
}
