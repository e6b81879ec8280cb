package org.gullway.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.gullway.protocol.JobRequest;

/**
 * Requests of which one task found no room in this round. Room only shrinks while tasks are planned, so a task that
 * takes no less and may go nowhere else finds none either, and the machines need not be gone through for it again: in
 * a burst there are a hundred waiting jobs and as many fragments.
 */
final class UnfittedRequests {
    private final List<JobRequest> requests = new ArrayList<>();

    /** Notes that no machine has room for one more task of this request. */
    void add(JobRequest request) {
        if (isPlain(request) && !coverAll(request)) {
            requests.add(request);
        }
    }

    /** Whether a task of this request surely finds no room. */
    boolean coverAll(JobRequest request) {
        for (JobRequest unfitted : requests) {
            if (needsNoLess(request, unfitted) && mayGoNowhereElse(request, unfitted)) {
                return true;
            }
        }
        return false;
    }

    /** Where tasks of other requests may go depends on where those before them went. */
    private static boolean isPlain(JobRequest request) {
        return !request.oneZone() && !request.spread();
    }

    private static boolean needsNoLess(JobRequest request, JobRequest unfitted) {
        return request.cpus() >= unfitted.cpus()
                && request.memoryGb() >= unfitted.memoryGb()
                && request.cards() >= unfitted.cards();
    }

    private static boolean mayGoNowhereElse(JobRequest request, JobRequest unfitted) {
        return (unfitted.spot() || !request.spot())
                && (unfitted.zone() == null || Objects.equals(unfitted.zone(), request.zone()))
                && (unfitted.types() == null || Objects.equals(unfitted.types(), request.types()));
    }
}
