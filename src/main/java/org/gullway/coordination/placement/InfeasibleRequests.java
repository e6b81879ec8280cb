package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.gullway.protocol.JobRequest;

/**
 * Requests of which one task found no room in this round. Room only shrinks while tasks are planned, so a task that
 * takes no less and may go nowhere else finds none either, and the machines need not be gone through for it again: in
 * a burst there are a hundred waiting jobs and as many fragments.
 */
public final class InfeasibleRequests {
    private final List<JobRequest> requests = new ArrayList<>();

    /** Notes that no machine has room for one more task of this request. */
    public void add(JobRequest request) {
        if (isIndependentOfZones(request) && !isKnownInfeasible(request)) {
            requests.add(request);
        }
    }

    /** Whether a task of this request surely finds no room. */
    public boolean isKnownInfeasible(JobRequest request) {
        for (JobRequest unfitted : requests) {
            if (needsAtLeastAsMuch(request, unfitted) && isAtLeastAsConstrained(request, unfitted)) {
                return true;
            }
        }
        return false;
    }

    /** Where tasks of other requests may go depends on where those before them went. */
    private static boolean isIndependentOfZones(JobRequest request) {
        return !request.singleZone() && !request.spreadAcrossZones();
    }

    private static boolean needsAtLeastAsMuch(JobRequest request, JobRequest unfitted) {
        return request.cpus() >= unfitted.cpus()
                && request.memoryGb() >= unfitted.memoryGb()
                && request.gpus() >= unfitted.gpus();
    }

    private static boolean isAtLeastAsConstrained(JobRequest request, JobRequest unfitted) {
        return (unfitted.spotAllowed() || !request.spotAllowed())
                && (unfitted.zone() == null || Objects.equals(unfitted.zone(), request.zone()))
                && (unfitted.machineTypes() == null || Objects.equals(unfitted.machineTypes(), request.machineTypes()));
    }
}
