package org.gullway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;

/**
 * Checks that at least half of the jobs of each priority, of each team, and of those with the largest tasks were
 * started.
 */
final class StartedJobsCheck {
    private static final double MIN_SERVED_SHARE = 0.5;

    private static final class Count {
        private int jobs;
        private int started;
    }

    private StartedJobsCheck() {}

    /** The kinds of jobs of which less than half has started, each with its figures. */
    static List<String> violations(List<TestUser> users) {
        double largest =
                users.stream().mapToDouble(user -> user.request.cpus()).max().orElse(0);
        Map<String, Count> counts = new LinkedHashMap<>();
        for (TestUser user : users) {
            if (user.timeToAcceptance() != null && !user.isCancellationRequested()) {
                JobRequest job = user.request;
                count(counts, "rank " + job.priority(), user);
                count(counts, "team " + job.team(), user);
                if (job.cpus() == largest) {
                    count(counts, "largest tasks", user);
                }
            }
        }
        List<String> violations = new ArrayList<>();
        counts.forEach((name, count) -> {
            if (count.started < MIN_SERVED_SHARE * count.jobs) {
                violations.add("half_served: " + name + ": " + count.started + " of " + count.jobs + " jobs began");
            }
        });
        return violations;
    }

    private static void count(Map<String, Count> counts, String name, TestUser user) {
        Count count = counts.computeIfAbsent(name, n -> new Count());
        count.jobs++;
        count.started += user.timeToFirstStart() == null ? 0 : 1;
    }
}
