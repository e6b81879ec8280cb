package org.gullway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.JobRequest;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;

/** All users of a test. The fake agents get the request and the run time of each job from this class. */
final class TestUsers implements FakeAgent.Environment {
    private final EventLoop loop;
    private final HttpClient client;
    private final InvariantChecker invariants;
    private final RandomGenerator random;
    private final List<String> addresses;
    private final Map<String, TestUser> users = new LinkedHashMap<>();
    private Consumer<TestUser> onAllTasksCompleted = user -> {};
    private Consumer<TestUser> onAcceptedOrFinished = user -> {};
    private int queryRateFactor = 1;
    private JobHistory history = JobHistory.none();
    private BiPredicate<String, String> taskFails = (machine, job) -> false;

    /** @param addresses the public addresses of all controllers */
    TestUsers(
            EventLoop loop,
            HttpClient client,
            InvariantChecker invariants,
            RandomGenerator random,
            List<String> addresses) {
        this.loop = loop;
        this.client = client;
        this.invariants = invariants;
        this.random = random;
        this.addresses = new ArrayList<>(addresses);
    }

    /** Creates a user and makes the user submit this job. */
    TestUser submit(JobRequest request, Duration runTime) {
        TestUser user = new TestUser(this, request, runTime);
        users.put(request.id(), user);
        invariants.onSubmitted(request);
        user.submit();
        return user;
    }

    List<TestUser> all() {
        return List.copyOf(users.values());
    }

    /** The ids of the unfinished jobs, each followed by a space and the reported final state, which is empty. */
    List<String> unfinished() {
        return users.values().stream()
                .filter(user -> !user.isFinished())
                .map(user -> user.request.id() + " " + invariants.reportedState(user.request.id()))
                .toList();
    }

    /** Sets the rate of queries, as a multiple of the default rate, from now on. */
    void setQueryRateFactor(int factor) {
        queryRateFactor = factor;
    }

    /** Sets the listener that is called when the last task of a job completes on its machine. */
    void onAllTasksCompleted(Consumer<TestUser> listener) {
        onAllTasksCompleted = listener;
    }

    /**
     * Sets the listener that is called at the first response that accepts a job and at the first response that reports
     * a final state.
     */
    void onAcceptedOrFinished(Consumer<TestUser> listener) {
        onAcceptedOrFinished = listener;
    }

    /** Sets the history that records the responses to users and the starts and ends of tasks from now on. */
    void setHistory(JobHistory newHistory) {
        history = newHistory;
    }

    /** Sets the predicate that decides by machine and job whether a task fails. */
    void setTaskFailurePredicate(BiPredicate<String, String> fails) {
        taskFails = fails;
    }

    /** Makes the user query all controllers several times within 6 ms and repeat the submission once. */
    void queryInBursts(TestUser user, RandomGenerator burstRandom) {
        for (int i = 0; i < 4; i++) {
            loop.after(Duration.ofNanos(burstRandom.nextInt(6_000_000)), user::queryAllControllers);
        }
        loop.after(Duration.ofNanos(burstRandom.nextInt(6_000_000)), user::resubmit);
    }

    // Used by TestUser

    EventLoop loop() {
        return loop;
    }

    HttpClient client() {
        return client;
    }

    InvariantChecker invariants() {
        return invariants;
    }

    List<String> addresses() {
        return addresses;
    }

    String anyAddress() {
        return addresses.get(random.nextInt(addresses.size()));
    }

    int queryRateFactor() {
        return queryRateFactor;
    }

    void notifyAcceptedOrFinished(TestUser user) {
        onAcceptedOrFinished.accept(user);
    }

    JobHistory history() {
        return history;
    }

    // Environment of the fake agents

    private static String jobIdOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    @Override
    public JobRequest jobOf(String job) {
        TestUser user = users.get(job);
        return user == null ? null : user.request;
    }

    @Override
    public Duration runTime(String job) {
        return users.get(job).runTime;
    }

    @Override
    public boolean taskFails(String machine, String job) {
        return taskFails.test(machine, job);
    }

    @Override
    public boolean isCompleted(String task) {
        return invariants.isTaskCompleted(task);
    }

    @Override
    public void onTaskStarted(String machine, String task) {
        history.add(jobIdOf(task), loop.now(), () -> task + " starts on " + machine);
        invariants.onTaskStarted(machine, task, loop.now());
    }

    @Override
    public void onCompletedTaskStarted(String machine, String task) {
        history.add(jobIdOf(task), loop.now(), () -> task + " starts again after its completion on " + machine);
        invariants.onCompletedTaskStarted(machine, task, loop.now());
    }

    @Override
    public void onTaskEnded(String machine, String task, boolean done) {
        history.add(
                jobIdOf(task),
                loop.now(),
                () -> task + (done ? " completes on " : " ends without completion on ") + machine);
        invariants.onTaskEnded(machine, task, done);
        TestUser user = users.get(jobIdOf(task));
        if (done && invariants.allTasksCompleted(user.request.id())) {
            onAllTasksCompleted.accept(user);
        }
    }
}
