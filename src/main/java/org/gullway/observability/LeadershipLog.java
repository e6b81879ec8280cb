package org.gullway.observability;

import java.util.Objects;
import org.gullway.coordination.model.Incarnation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs every change of the leader and of the fencing token, as far as this controller knows of it. */
public final class LeadershipLog {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipLog.class);

    private Incarnation leader;
    private long fencingToken = -1;

    /**
     * Takes note of the cluster state.
     *
     * @param newLeader null if there is none
     * @param revision at which the leader was recorded
     */
    public void observe(Incarnation newLeader, long newFencingToken, long revision) {
        if (!Objects.equals(newLeader, leader)) {
            logLeader(newLeader, newFencingToken, revision);
        } else if (newFencingToken != fencingToken) {
            LOG.debug("fencing token changed fencing_token={}", newFencingToken);
        }
        leader = newLeader;
        fencingToken = newFencingToken;
    }

    private static void logLeader(Incarnation leader, long fencingToken, long revision) {
        if (leader == null) {
            LOG.info("no leader on record fencing_token={} revision={}", fencingToken, revision);
        } else {
            LOG.info(
                    "leader changed controller={} incarnation={} fencing_token={} revision={}",
                    leader.node(),
                    leader.number(),
                    fencingToken,
                    revision);
        }
    }
}
