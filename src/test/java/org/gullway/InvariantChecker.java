package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/**
 * Checks the invariants of the scheduler by externally observable events only: starts and ends of tasks on machines,
 * and responses to users. Each group of invariants has a class of its own, to which this class forwards the events.
 */
final class InvariantChecker {
    /** All violations in order of detection, each with the name of the violated rule and a description. */
    final List<String> violations = new ArrayList<>();

    private final Map<String, ObservedJob> jobs = new LinkedHashMap<>();
    private final PlacementRules placements = new PlacementRules(violations);
    private final QuotaRules quota;
    private final CancellationRules cancellations;
    private final ReportedStateRules reportedStates = new ReportedStateRules(violations);
    private final AvailabilityRules availability = new AvailabilityRules(violations);
    private final InvalidSubmissionRules invalidSubmissions = new InvalidSubmissionRules(violations);
    private final StarvationRule starvation;
    private boolean faultsEnded;
    private int startedTasks;

    /**
     * @param cancellationLimit how long tasks of a job may still run after its cancellation was confirmed to the user
     */
    InvariantChecker(Duration cancellationLimit, Map<String, Settings.Team> teams) {
        quota = new QuotaRules(violations, teams);
        cancellations = new CancellationRules(violations, cancellationLimit);
        starvation = new StarvationRule(violations, placements, quota);
    }

    // Events on machines

    void onMachineUp(String name, FakeAgent.Kind kind) {
        placements.onMachineUp(name, kind);
    }

    void onTaskStarted(String machine, String task, Instant now) {
        startedTasks++;
        ObservedJob job = jobs.get(ObservedJob.jobIdOf(task));
        job.onTaskStarted(now);
        starvation.onTaskStarted(job);
        placements.onTaskStarted(job, machine, task, now);
        cancellations.onTaskStarted(job, machine, task, now);
        quota.onTaskStarted(job.request, now);
    }

    /** Handles the start of a task that has completed before: it ends at once, but must not start where it is wrong. */
    void onCompletedTaskStarted(String machine, String task, Instant now) {
        ObservedJob job = jobs.get(ObservedJob.jobIdOf(task));
        placements.checkStart(job, machine, task, now);
        cancellations.onTaskStarted(job, machine, task, now);
    }

    void onTaskEnded(String machine, String task, boolean done) {
        ObservedJob job = jobs.get(ObservedJob.jobIdOf(task));
        if (placements.onTaskEnded(job, machine, task)) {
            quota.onTaskEnded(job.request);
        }
        if (done) {
            job.onTaskCompleted(task);
        }
    }

    boolean isTaskCompleted(String task) {
        return jobs.get(ObservedJob.jobIdOf(task)).isCompleted(task);
    }

    boolean allTasksCompleted(String id) {
        ObservedJob job = jobs.get(id);
        return job.completedTasks() == job.request.tasks();
    }

    /** Number of tasks that run now. */
    long runningTasks() {
        return placements.runningTasks();
    }

    /** Number of tasks started until now; a restarted task counts again. */
    int startedTasks() {
        return startedTasks;
    }

    // Requests and responses of users

    void onSubmitted(JobRequest request) {
        jobs.put(request.id(), new ObservedJob(request));
    }

    void onAccepted(String id, Instant now) {
        jobs.get(id).onAccepted(now);
    }

    void onCancellationRequested(String id) {
        jobs.get(id).onCancellationRequested();
    }

    boolean isCancellationRequested(String id) {
        return jobs.get(id).isCancellationRequested();
    }

    /** Returns whether a final state was reported to the user. */
    boolean isFinished(String id) {
        return jobs.get(id).isFinished();
    }

    /** Returns the final state that was reported to the user, or an empty string. */
    String reportedState(String id) {
        return jobs.get(id).reportedFinalState();
    }

    /** Returns when the first task of the job started, or null if none has started. */
    Instant firstStartOf(String id) {
        return jobs.get(id).firstStart();
    }

    /**
     * Handles a state in a response to the user. Returns whether it is the first response that confirms a cancellation.
     */
    boolean onStateReported(String id, String state, Instant sentAt, Instant now) {
        return reportedStates.onStateReported(jobs.get(id), state, sentAt, now);
    }

    /** Handles a response to a cancellation with status 200. */
    void onCancellationAnswered(String id, String state, Instant now) {
        cancellations.onCancellationAnswered(id, state, now);
    }

    Duration cancellationLimit() {
        return cancellations.limit();
    }

    /** Checks the running tasks of a cancelled job. Must be called when the limit has passed since the confirmation. */
    void checkCancellationLimit(String id, Instant now) {
        cancellations.checkRunningTasksAtLimit(id, placements, now);
    }

    /** Number of tasks that started after the cancellation of their job was confirmed to the user. */
    int startsAfterCancellation() {
        return cancellations.startsAfterCancellation();
    }

    /** Handles the end of a query about an accepted job. Only status 200 counts as an answer; 404 is a violation. */
    void onQueried(String id, int status, Instant sentAt, Instant now) {
        availability.onQueried(jobs.get(id), status, sentAt, now);
    }

    /** Handles the response to a repeated submission of an accepted job. */
    void onResubmitted(String id, int status, Instant now) {
        availability.onResubmitted(id, status, now);
    }

    /**
     * Handles the response to an invalid submission. Returns whether the response is final; otherwise, the user
     * retries.
     */
    boolean onInvalidSubmission(String id, int expectedStatus, int status) {
        return invalidSubmissions.onInvalidSubmission(id, expectedStatus, status);
    }

    /** Handles the response to a query about a job whose submission was invalid. */
    void onInvalidJobQueried(String id, int status) {
        invalidSubmissions.onInvalidJobQueried(id, status);
    }

    // Checks after the faults

    void onFaultsEnded(Instant now) {
        faultsEnded = true;
        availability.onFaultsEnded(now);
    }

    /** Checks all jobs for starvation once all faults have ended. Must be called every second. */
    void checkStarvation(Predicate<String> isMachineUp, Instant now) {
        if (faultsEnded) {
            jobs.values().forEach(job -> starvation.check(job, isMachineUp, now));
        }
    }
}
