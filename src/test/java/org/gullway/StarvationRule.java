package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.gullway.protocol.JobRequest;

/**
 * Checks, once all faults have ended, that no job waits for more than 90 s while a running machine has capacity for one
 * of its tasks and the quota of its team allows the task.
 */
final class StarvationRule {
    private static final Duration MAX_WAIT = Duration.ofSeconds(90);

    private final List<String> violations;
    private final PlacementRules placements;
    private final QuotaRules quotas;
    private final Map<String, Instant> startableSinceByJob = new HashMap<>();

    StarvationRule(List<String> violations, PlacementRules placements, QuotaRules quotas) {
        this.violations = violations;
        this.placements = placements;
        this.quotas = quotas;
    }

    void onTaskStarted(ObservedJob job) {
        startableSinceByJob.remove(job.id());
    }

    void check(ObservedJob job, Predicate<String> isMachineUp, Instant now) {
        if (!canStartTask(job, isMachineUp)) {
            startableSinceByJob.remove(job.id());
            return;
        }
        Instant startableSince = startableSinceByJob.putIfAbsent(job.id(), now);
        if (startableSince != null && startableSince.plus(MAX_WAIT).isBefore(now)) {
            violations.add("left_waiting: " + job.id() + " could have started since " + startableSince + ", limit "
                    + MAX_WAIT + ", now " + now);
            startableSinceByJob.put(job.id(), now);
        }
    }

    private boolean canStartTask(ObservedJob job, Predicate<String> isMachineUp) {
        JobRequest request = job.request;
        return job.acceptedAt() != null
                && !job.isFinished()
                && !job.isCancellationRequested()
                && job.completedTasks() + placements.runningTasks(job.id()) < request.tasks()
                && quotas.allowsAnotherTask(request)
                && placements.machines().stream()
                        .anyMatch(machine -> isMachineUp.test(machine) && placements.canStartTask(request, machine));
    }
}
