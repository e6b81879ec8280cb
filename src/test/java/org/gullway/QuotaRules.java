package org.gullway;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/** Checks that the running tasks of a team never use more CPUs than its quota, which is the limit in the settings. */
final class QuotaRules {
    private static final double CPU_TOLERANCE = 1e-6;

    private final List<String> violations;
    private final Map<String, Settings.Team> teams;
    private final Map<String, Double> usedCpus = new HashMap<>();

    QuotaRules(List<String> violations, Map<String, Settings.Team> teams) {
        this.violations = violations;
        this.teams = teams;
    }

    void onTaskStarted(JobRequest request, Instant now) {
        double used = usedCpus.merge(request.team(), request.cpus(), Double::sum);
        if (used > cpusLimit(request) + CPU_TOLERANCE) {
            violations.add(
                    "quota: " + request.team() + " uses " + used + " of " + cpusLimit(request) + " CPUs at " + now);
        }
    }

    void onTaskEnded(JobRequest request) {
        usedCpus.merge(request.team(), -request.cpus(), Double::sum);
    }

    /** Returns whether the quota of the team allows another task of the job. */
    boolean allowsAnotherTask(JobRequest request) {
        return usedCpus.getOrDefault(request.team(), 0.0) + request.cpus() <= cpusLimit(request) + CPU_TOLERANCE;
    }

    private double cpusLimit(JobRequest request) {
        return teams.get(request.team()).cpusLimit();
    }
}
