package org.gullway.observability;

import java.util.Objects;
import org.gullway.coordination.model.Incarnation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs who leads under which epoch, as far as this controller knows, whenever that changes. */
public final class LeadershipLog {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipLog.class);

    private Incarnation leader;
    private long fencingToken = -1;

    /**
     * Takes what the view shows.
     *
     * @param revision at which the leader was recorded
     */
    public void observe(Incarnation newLeader, long newFencingToken, long revision) {
        if (!Objects.equals(newLeader, leader)) {
            LOG.info(
                    "{} leads under epoch {}, recorded at revision {}",
                    newLeader == null ? "nobody" : newLeader,
                    newFencingToken,
                    revision);
        } else if (newFencingToken != fencingToken) {
            LOG.debug("epoch {}", newFencingToken);
        }
        leader = newLeader;
        fencingToken = newFencingToken;
    }
}
