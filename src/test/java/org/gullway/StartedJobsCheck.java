package org.gullway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;

/**
 * Checks that at least half of the jobs of each group were started. There is a group for each priority, for each team,
 * and for the jobs with the largest tasks. Cancelled jobs and jobs that were not accepted do not count.
 */
final class StartedJobsCheck {
    private static final double MIN_STARTED_FRACTION = 0.5;

    private static final class Count {
        private int jobs;
        private int started;
    }

    private StartedJobsCheck() {}

    /**
     * Returns a violation for each group of which fewer than half of the jobs were started, with the numbers of jobs.
     */
    static List<String> violations(List<TestUser> users) {
        double maxCpus =
                users.stream().mapToDouble(user -> user.request.cpus()).max().orElse(0);
        Map<String, Count> counts = new LinkedHashMap<>();
        for (TestUser user : users) {
            if (user.timeToAcceptance() != null && !user.isCancellationRequested()) {
                JobRequest job = user.request;
                addTo(counts, "priority " + job.priority(), user);
                addTo(counts, "team " + job.team(), user);
                if (job.cpus() == maxCpus) {
                    addTo(counts, "largest tasks", user);
                }
            }
        }
        List<String> violations = new ArrayList<>();
        counts.forEach((name, count) -> {
            if (count.started < MIN_STARTED_FRACTION * count.jobs) {
                violations.add("half_served: " + name + ": " + count.started + " of " + count.jobs + " jobs started");
            }
        });
        return violations;
    }

    private static void addTo(Map<String, Count> counts, String name, TestUser user) {
        Count count = counts.computeIfAbsent(name, n -> new Count());
        count.jobs++;
        count.started += user.timeToFirstStart() == null ? 0 : 1;
    }
}
