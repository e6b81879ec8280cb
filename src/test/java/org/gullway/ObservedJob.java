package org.gullway;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.gullway.protocol.JobRequest;

/** What a test observes of one job: its tasks on the machines, and the responses to its user. */
final class ObservedJob {
    final JobRequest request;
    private final Set<Integer> completedTaskNumbers = new HashSet<>();

    private boolean cancellationRequested;
    private Instant acceptedAt;
    private Instant firstStart;
    private String reportedFinalState = "";
    private Instant finishedAt;

    ObservedJob(JobRequest request) {
        this.request = request;
    }

    /** The id of the job that a task belongs to; the id of a task is "job/number". */
    static String jobIdOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private static int numberOf(String task) {
        return Integer.parseInt(task.substring(task.indexOf('/') + 1));
    }

    String id() {
        return request.id();
    }

    // Observations of the tasks on the machines

    void onTaskStarted(Instant now) {
        firstStart = firstStart == null ? now : firstStart;
    }

    void onTaskCompleted(String task) {
        completedTaskNumbers.add(numberOf(task));
    }

    boolean isCompleted(String task) {
        return completedTaskNumbers.contains(numberOf(task));
    }

    boolean isCompleted(int task) {
        return completedTaskNumbers.contains(task);
    }

    int completedTasks() {
        return completedTaskNumbers.size();
    }

    /** When the first task of the job started; null if no task has started. */
    Instant firstStart() {
        return firstStart;
    }

    // Observations of the responses to the user

    void onAccepted(Instant now) {
        acceptedAt = acceptedAt == null ? now : acceptedAt;
    }

    /** When the user got the first response that accepts the job; null before that. */
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

    /** Called at the first response that reports a final state to the user. */
    void onFinished(String state, Instant now) {
        reportedFinalState = state;
        finishedAt = now;
    }

    boolean isFinished() {
        return isFinal(reportedFinalState);
    }

    /** The final state that was reported to the user; empty before that. */
    String reportedFinalState() {
        return reportedFinalState;
    }

    /** When the final state was first reported to the user; null before that. */
    Instant finishedAt() {
        return finishedAt;
    }

    /** Whether a response to the user reported the final state of a cancelled job. */
    boolean isCancelled() {
        return reportedFinalState.equals("aborted");
    }
}
