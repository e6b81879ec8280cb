package org.gullway.coordination.scheduling;

import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;

/**
 * The state and the policies that the schedulers of a controller share.
 *
 * @param backoff determines which jobs must not start tasks now because of repeated errors
 * @param deadlines determines which jobs can still complete in time
 */
public record SchedulingContext(
        ClusterState clusterState,
        PlacementConstraints constraints,
        TeamQuotas quotas,
        JobBackoff backoff,
        DeadlinePolicy deadlines) {}
