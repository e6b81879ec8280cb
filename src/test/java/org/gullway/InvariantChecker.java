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
 * The rules of the protocol, checked from outside: by the tasks on the machines and the responses to users. Each family of
 * rules is a class of its own; this one passes every event on to those that it concerns.
 */
final class InvariantChecker {
    /** Every violation seen, in order: the name of its rule and what was seen. */
    final List<String> violations = new ArrayList<>();

    private final Map<String, ObservedJob> jobs = new LinkedHashMap<>();
    private final PlacementRules placement = new PlacementRules(violations);
    private final QuotaRules quota;
    private final CancellationRules cancellation;
    private final ReportedStateRules reportedStates = new ReportedStateRules(violations);
    private final AvailabilityRules availability = new AvailabilityRules(violations);
    private final InvalidSubmissionRules invalidSubmissions = new InvalidSubmissionRules(violations);
    private final StarvationRule starvation;
    private boolean faultsEnded;
    private int starts;

    /** @param cancellationLimit how long after a confirmed cancellation tasks of the job may still run */
    InvariantChecker(Duration cancellationLimit, Map<String, Settings.Team> teams) {
        quota = new QuotaRules(violations, teams);
        cancellation = new CancellationRules(violations, cancellationLimit);
        starvation = new StarvationRule(violations, placement, quota);
    }

    // Machines

    void onMachineUp(String name, FakeAgent.Kind kind) {
        placement.onMachineUp(name, kind);
    }

    void onTaskStarted(String machine, String task, Instant now) {
        starts++;
        ObservedJob job = jobs.get(ObservedJob.jobOf(task));
        job.onTaskStarted(now);
        starvation.onTaskStarted(job);
        placement.onTaskStarted(job, machine, task, now);
        cancellation.onTaskStarted(job, machine, task, now);
        quota.onTaskStarted(job.request, now);
    }

    void onTaskEnded(String machine, String task, boolean done) {
        ObservedJob job = jobs.get(ObservedJob.jobOf(task));
        if (placement.onTaskEnded(job, machine, task)) {
            quota.onTaskEnded(job.request);
        }
        if (done) {
            job.onTaskCompleted(task);
        }
    }

    boolean isTaskCompleted(String task) {
        return jobs.get(ObservedJob.jobOf(task)).isCompleted(task);
    }

    boolean allTasksCompleted(String id) {
        ObservedJob job = jobs.get(id);
        return job.completedTasks() == job.request.tasks();
    }

    /** Tasks that are on a machine now. */
    long runningTasks() {
        return placement.runningTasks();
    }

    /** Starts of tasks until now. */
    int startedTasks() {
        return starts;
    }

    // Users

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

    /** Whether a final state was reported to the user. */
    boolean isFinished(String id) {
        return jobs.get(id).isFinished();
    }

    /** The final state that was reported to the user, or empty. */
    String reportedState(String id) {
        return jobs.get(id).reportedState();
    }

    /** When a task of the job started first; null if none has. */
    Instant firstStartOf(String id) {
        return jobs.get(id).firstStart();
    }

    /** A user got this state; returns whether it is the first response that confirms the cancellation. */
    boolean onStateReported(String id, String state, Instant asked, Instant now) {
        return reportedStates.onStateReported(jobs.get(id), state, asked, now);
    }

    /** A request to cancel was answered with 200 and this state. */
    void onCancellationAnswered(String id, String state, Instant now) {
        cancellation.onAnswered(id, state, now);
    }

    Duration cancellationLimit() {
        return cancellation.limit();
    }

    /** To be called when the limit has passed since the cancellation was confirmed. */
    void checkCancellationLimit(String id, Instant now) {
        cancellation.checkLimit(id, placement, now);
    }

    /** Starts of tasks after the response that confirmed the cancellation of their job. */
    int startsAfterCancellation() {
        return cancellation.startsAfterCancellation();
    }

    /** A query about an accepted job has ended, with an answer or without; 404 is no answer. */
    void onQueried(String id, int status, Instant asked, Instant now) {
        availability.onQueried(jobs.get(id), status, asked, now);
    }

    /** A repeated submission of a job that is known was answered with this status. */
    void onResubmitted(String id, int status, Instant now) {
        availability.onResubmitted(id, status, now);
    }

    /** An invalid submission was answered with this status; whether the response is final, so that no retry is due. */
    boolean onInvalidSubmission(String id, int expected, int status) {
        return invalidSubmissions.onAnswered(id, expected, status);
    }

    /** A query about a job that no one submitted was answered with this status. */
    void onUnknownJobQueried(String id, int status) {
        invalidSubmissions.onUnknownJobQueried(id, status);
    }

    // Afterwards

    void onFaultsEnded(Instant now) {
        faultsEnded = true;
        availability.onFaultsEnded(now);
    }

    /** Checks all jobs for starvation, if all faults are over; to be called every second. */
    void checkStarvation(Predicate<String> isUp, Instant now) {
        if (faultsEnded) {
            jobs.values().forEach(job -> starvation.check(job, isUp, now));
        }
    }
}
