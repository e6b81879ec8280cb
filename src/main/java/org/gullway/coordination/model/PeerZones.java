package org.gullway.coordination.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The other controllers of the deployment as the settings name them.
 *
 * @param zoneOf the zone of each controller by its name
 * @param cancelLimit how long tasks of a cancelled job may be on a machine
 */
public record PeerZones(Map<String, String> zoneOf, Duration cancelLimit) {
    /** The other controllers in the zone. */
    public List<String> inZone(String zone) {
        return zoneOf.entrySet().stream()
                .filter(peer -> peer.getValue().equals(zone))
                .map(Map.Entry::getKey)
                .toList();
    }
}
