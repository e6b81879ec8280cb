package org.gullway.observability;

import java.util.Objects;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each change of the leader or of the fencing token that this controller observes in the cluster state. */
public final class LeadershipLog {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipLog.class);

    private Incarnation previousLeader;
    private FencingToken previousFencingToken = FencingToken.NONE;

    /** Compares the leader and the fencing token with those of the previous call and logs what has changed. */
    public void observe(ClusterState clusterState) {
        FencingToken fencingToken = new FencingToken(clusterState.fencingToken());
        if (!Objects.equals(clusterState.leader(), previousLeader)) {
            logLeader(clusterState);
        } else if (!fencingToken.equals(previousFencingToken)) {
            LOG.debug("new fencing token on record fencing_token={}", fencingToken.value());
        }
        previousLeader = clusterState.leader();
        previousFencingToken = fencingToken;
    }

    private static void logLeader(ClusterState clusterState) {
        Incarnation leader = clusterState.leader();
        if (leader == null) {
            LOG.info(
                    "no leader on record fencing_token={} revision={}",
                    clusterState.fencingToken(),
                    clusterState.version(StoreKeys.LEADER));
        } else {
            LOG.info(
                    "leader changed controller={} incarnation={} fencing_token={} revision={}",
                    leader.node(),
                    leader.number(),
                    clusterState.fencingToken(),
                    clusterState.version(StoreKeys.LEADER));
        }
    }
}
