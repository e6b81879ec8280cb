package org.gullway;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/** The running tasks of a team never use more than its quota. */
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
        if (used > quota(request) + CPU_TOLERANCE) {
            violations.add("quota: " + request.team() + " uses " + used + " at " + now);
        }
    }

    void onTaskEnded(JobRequest request) {
        usedCpus.merge(request.team(), -request.cpus(), Double::sum);
    }

    /** Whether the team's quota allows one more task of the job. */
    boolean allowsOneMore(JobRequest request) {
        return usedCpus.getOrDefault(request.team(), 0.0) + request.cpus() <= quota(request) + CPU_TOLERANCE;
    }

    private double quota(JobRequest request) {
        return teams.get(request.team()).cpusLimit();
    }
}
