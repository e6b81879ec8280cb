package org.gullway.observability;

import java.util.Objects;
import org.gullway.coordination.model.Incarnation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each change of the leader or of the fencing token that this controller observes in the cluster state. */
public final class LeadershipLog {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipLog.class);

    private Incarnation previousLeader;
    private long previousFencingToken = -1;

    /**
     * Compares the leader and the fencing token with those of the previous call and logs what has changed.
     *
     * @param leader the leader on record, or null if there is none
     * @param revision the revision of the state store at which the leader was recorded; 0 if there is no leader
     */
    public void observe(Incarnation leader, long fencingToken, long revision) {
        if (!Objects.equals(leader, previousLeader)) {
            logLeader(leader, fencingToken, revision);
        } else if (fencingToken != previousFencingToken) {
            LOG.debug("new fencing token on record fencing_token={}", fencingToken);
        }
        previousLeader = leader;
        previousFencingToken = fencingToken;
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
