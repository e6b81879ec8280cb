package org.gullway.coordination.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The settings for unreachable machines in a zone that is cut off by a network partition. A zone counts as cut off
 * while none of the controllers in it is a member. Declaring such a machine lost is deferred, at most by the
 * cancellation limit.
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
