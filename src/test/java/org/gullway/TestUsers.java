package org.gullway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.fake.FakeWorker;
import org.gullway.protocol.JobRequest;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;

/** All users with their jobs, which are also what workers know of the world. */
final class TestUsers implements FakeWorker.World {
    private final EventLoop loop;
    private final HttpClient client;
    private final InvariantChecker rules;
    private final RandomGenerator random;
    private final List<String> addresses;
    private final Map<String, TestUser> users = new LinkedHashMap<>();
    private Consumer<TestUser> whenDone = user -> {};
    private Consumer<TestUser> whenNews = user -> {};
    private int timesAsOften = 1;
    private JobHistory history = JobHistory.none();
    private BiPredicate<String, String> failing = (machine, job) -> false;

    /** @param addresses the public addresses of all controllers */
    TestUsers(
            EventLoop loop, HttpClient client, InvariantChecker rules, RandomGenerator random, List<String> addresses) {
        this.loop = loop;
        this.client = client;
        this.rules = rules;
        this.random = random;
        this.addresses = new ArrayList<>(addresses);
    }

    /** A new user submits this job. */
    TestUser submit(JobRequest request, Duration runTime) {
        TestUser user = new TestUser(this, request, runTime);
        users.put(request.id(), user);
        rules.submitted(request);
        user.submit();
        return user;
    }

    List<TestUser> all() {
        return List.copyOf(users.values());
    }

    List<String> unfinished() {
        return users.values().stream()
                .filter(user -> !user.over())
                .map(user -> user.request.id() + " " + rules.told(user.request.id()))
                .toList();
    }

    /** From now on users ask so many times as often. */
    void askTimesAsOften(int times) {
        timesAsOften = times;
    }

    /** Is told at the very moment at which the last task of a job has completed. */
    void whenDone(Consumer<TestUser> told) {
        whenDone = told;
    }

    /** Is told at the very moment at which a user hears that its job is accepted, and that it is done or cancelled. */
    void whenNews(Consumer<TestUser> told) {
        whenNews = told;
    }

    /** From now on what users and machines see is recorded here. */
    void recordIn(JobHistory next) {
        history = next;
    }

    /** Says of a machine and a job whether its tasks fail there. */
    void failing(BiPredicate<String, String> fails) {
        failing = fails;
    }

    /** The user asks at all nodes, again and again within milliseconds, and repeats the submission. */
    void lookClosely(TestUser user, RandomGenerator moments) {
        for (int look = 0; look < 4; look++) {
            loop.after(Duration.ofNanos(moments.nextInt(6_000_000)), user::askEverywhere);
        }
        loop.after(Duration.ofNanos(moments.nextInt(6_000_000)), user::submitAgain);
    }

    // What a user needs

    EventLoop loop() {
        return loop;
    }

    HttpClient client() {
        return client;
    }

    InvariantChecker rules() {
        return rules;
    }

    List<String> addresses() {
        return addresses;
    }

    String anyAddress() {
        return addresses.get(random.nextInt(addresses.size()));
    }

    int timesAsOften() {
        return timesAsOften;
    }

    void news(TestUser user) {
        whenNews.accept(user);
    }

    JobHistory history() {
        return history;
    }

    // What workers know

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    @Override
    public JobRequest describe(String job) {
        TestUser user = users.get(job);
        return user == null ? null : user.request;
    }

    @Override
    public Duration runTime(String job) {
        return users.get(job).runTime;
    }

    @Override
    public boolean fails(String machine, String job) {
        return failing.test(machine, job);
    }

    @Override
    public boolean completed(String task) {
        return rules.completed(task);
    }

    @Override
    public void began(String machine, String task) {
        history.add(job(task), loop.now(), () -> task + " begins on " + machine);
        rules.began(machine, task, loop.now());
    }

    @Override
    public void ended(String machine, String task, boolean done) {
        history.add(job(task), loop.now(), () -> task + (done ? " is done on " : " is ended on ") + machine);
        rules.ended(machine, task, done);
        TestUser user = users.get(job(task));
        if (done && rules.allCompleted(user.request.id())) {
            whenDone.accept(user);
        }
    }
}
