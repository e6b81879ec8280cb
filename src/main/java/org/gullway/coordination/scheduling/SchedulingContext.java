package org.gullway.coordination.scheduling;

import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;

/**
 * What all schedulers of a controller decide by.
 *
 * @param backoff which jobs must not start anything now
 * @param deadlines which jobs can still be in time
 */
public record SchedulingContext(
        ClusterState clusterState,
        PlacementConstraints constraints,
        TeamQuotas quotas,
        JobBackoff backoff,
        DeadlinePolicy deadlines) {}
