package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.gullway.protocol.JobRequest;

/**
 * Cache of requests that no longer fit on any machine, for one placement pass over a fixed set of machines. Each pass
 * needs a new instance. Free resources only shrink during a pass, so a request that needs at least as much as a cached
 * request, and is at least as constrained, does not fit either. The cache avoids scanning all machines again for each
 * of many similar jobs.
 *
 * <p>When a gang does not fit as a whole, its reservations are cancelled and free resources grow again. Cached requests
 * remain infeasible, because the cancellation only restores the resources that were free before the reservations, and
 * no request is added in between.
 */
public final class InfeasibleRequests {
    private final List<JobRequest> requests = new ArrayList<>();

    /**
     * Records that no further task of this request fits on any machine of the pass. Requests with zone constraints are
     * ignored.
     */
    public void add(JobRequest request) {
        // A task with zone constraints may be rejected because of the zones of its job's other tasks, while the same
        // request of another job still fits.
        if (!PlacementConstraints.constrainsZones(request) && !isKnownInfeasible(request)) {
            requests.add(request);
        }
    }

    /**
     * Returns whether it is known that no task of this request fits on any machine of the pass. False means unknown:
     * the request may or may not fit.
     */
    public boolean isKnownInfeasible(JobRequest request) {
        for (JobRequest infeasible : requests) {
            if (needsAtLeastAsMuch(request, infeasible) && isAtLeastAsConstrained(request, infeasible)) {
                return true;
            }
        }
        return false;
    }

    private static boolean needsAtLeastAsMuch(JobRequest request, JobRequest infeasible) {
        return request.cpus() >= infeasible.cpus()
                && request.memoryGb() >= infeasible.memoryGb()
                && request.gpus() >= infeasible.gpus();
    }

    private static boolean isAtLeastAsConstrained(JobRequest request, JobRequest infeasible) {
        return (infeasible.spotAllowed() || !request.spotAllowed())
                && (infeasible.zone() == null || Objects.equals(infeasible.zone(), request.zone()))
                && (infeasible.machineTypes() == null
                        || Objects.equals(infeasible.machineTypes(), request.machineTypes()));
    }
}
