package org.gullway;

import java.util.Objects;
import org.gullway.coordination.Incarnation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs who leads under which epoch, as far as this controller knows, whenever that changes. */
final class LeadershipLog {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipLog.class);

    private Incarnation leader;
    private long epoch = -1;

    /**
     * Takes what the view shows.
     *
     * @param revision at which the leader was recorded
     */
    void observe(Incarnation newLeader, long newEpoch, long revision) {
        if (!Objects.equals(newLeader, leader)) {
            LOG.info(
                    "{} leads under epoch {}, recorded at revision {}",
                    newLeader == null ? "nobody" : newLeader,
                    newEpoch,
                    revision);
        } else if (newEpoch != epoch) {
            LOG.debug("epoch {}", newEpoch);
        }
        leader = newLeader;
        epoch = newEpoch;
    }
}
