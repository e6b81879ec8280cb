package org.gullway;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.gullway.protocol.JobRequest;

/** The observations of one job from outside: on the machines, and in the responses to its user. */
final class ObservedJob {
    final JobRequest request;
    /** Numbers of the tasks that have completed. */
    private final Set<Integer> completed = new HashSet<>();

    private boolean cancellationRequested;
    private Instant acceptedAt;
    private Instant firstStart;
    private String reportedState = "";
    private Instant finishedAt;

    ObservedJob(JobRequest request) {
        this.request = request;
    }

    /** The job of a task, by its id. */
    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private static int numberOf(String task) {
        return Integer.parseInt(task.substring(task.indexOf('/') + 1));
    }

    String id() {
        return request.id();
    }

    // Tasks

    void onTaskStarted(Instant now) {
        firstStart = firstStart == null ? now : firstStart;
    }

    void onTaskCompleted(String task) {
        completed.add(numberOf(task));
    }

    boolean isCompleted(String task) {
        return completed.contains(numberOf(task));
    }

    boolean isCompleted(int task) {
        return completed.contains(task);
    }

    int completedTasks() {
        return completed.size();
    }

    /** When a task of the job started first; null if none has. */
    Instant firstStart() {
        return firstStart;
    }

    // Responses to the user

    void onAccepted(Instant now) {
        acceptedAt = acceptedAt == null ? now : acceptedAt;
    }

    /** When the user got the first response that accepts the job, or null. */
    Instant acceptedAt() {
        return acceptedAt;
    }

    void onCancellationRequested() {
        cancellationRequested = true;
    }

    boolean isCancellationRequested() {
        return cancellationRequested;
    }

    static boolean isFinal(String state) {
        return state.equals("done") || state.equals("aborted");
    }

    /** A final state was reported to the user for the first time. */
    void onFinished(String state, Instant now) {
        reportedState = state;
        finishedAt = now;
    }

    boolean isFinished() {
        return isFinal(reportedState);
    }

    /** The final state that was reported to the user, or empty. */
    String reportedState() {
        return reportedState;
    }

    /** When the final state was reported to the user; null before. */
    Instant finishedAt() {
        return finishedAt;
    }

    /** Whether the cancellation was confirmed to the user. */
    boolean isCancelled() {
        return reportedState.equals("aborted");
    }
}
