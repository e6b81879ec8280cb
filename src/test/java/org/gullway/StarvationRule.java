package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.gullway.protocol.JobRequest;

/** Once all faults are over no job waits long while a machine has capacity for it and its team is below its quota. */
final class StarvationRule {
    private static final Duration MAX_WAIT = Duration.ofSeconds(90);

    private final List<String> violations;
    private final PlacementRules placements;
    private final QuotaRules quotas;
    private final Map<String, Instant> waitingSince = new HashMap<>();

    StarvationRule(List<String> violations, PlacementRules placements, QuotaRules quotas) {
        this.violations = violations;
        this.placements = placements;
        this.quotas = quotas;
    }

    void onTaskStarted(ObservedJob job) {
        waitingSince.remove(job.id());
    }

    void check(ObservedJob job, Predicate<String> isUp, Instant now) {
        if (!couldStart(job, isUp)) {
            waitingSince.remove(job.id());
            return;
        }
        Instant since = waitingSince.putIfAbsent(job.id(), now);
        if (since != null && since.plus(MAX_WAIT).isBefore(now)) {
            violations.add("left_waiting: " + job.id() + " since " + since);
            waitingSince.put(job.id(), now);
        }
    }

    private boolean couldStart(ObservedJob job, Predicate<String> isUp) {
        JobRequest request = job.request;
        return job.acceptedAt() != null
                && !job.isFinished()
                && !job.isCancellationRequested()
                && job.completedTasks() + placements.runningTasks(job.id()) < request.tasks()
                && quotas.allowsOneMore(request)
                && placements.machines().stream()
                        .anyMatch(machine -> isUp.test(machine) && placements.isFeasible(request, machine));
    }
}
