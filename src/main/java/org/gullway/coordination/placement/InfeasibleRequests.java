package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.gullway.protocol.JobRequest;

/**
 * Requests of which one more task fits no machine in this scheduling cycle. Free resources only shrink while tasks are
 * planned, so a task that needs no less and allows no other machines does not fit either. This saves going through all
 * machines again for each of many similar jobs.
 */
public final class InfeasibleRequests {
    private final List<JobRequest> requests = new ArrayList<>();

    /** Notes that one more task of this request fits no machine. */
    public void add(JobRequest request) {
        // With constraints on zones the reason may be where the job's other tasks are, not the free resources.
        if (!PlacementConstraints.constrainsZones(request) && !isKnownInfeasible(request)) {
            requests.add(request);
        }
    }

    /** Whether a task of this request surely fits no machine. */
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
