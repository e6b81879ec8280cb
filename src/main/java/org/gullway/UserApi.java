package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.bookkeeping.Ledger;
import org.gullway.bookkeeping.RecordCodec;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.Draft;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.coordination.Placing;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MalformedException;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Users' submissions, questions and cancellations. Nothing is told that is not on record, and no state that is not
 * final is told before the store has confirmed that it is still the newest.
 */
final class UserApi {
    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final int MOST_PENDING = 500;
    private static final int MOST_REMEMBERED = 10_000;
    private static final int MOST_VERIFIED = 60;
    private static final Duration VERIFY_AGAIN = Duration.ofMillis(200);
    private static final Duration POLL_PATIENCE = Duration.ofMillis(1200);

    private final EventLoop loop;
    private final ClusterView view;
    private final Ledger ledger;
    private final Placing placing;
    private final RandomGenerator random;
    private final CancelledTasks cancelled;
    private final Runnable changed;
    private final Metrics metrics;
    private final Map<String, Submission> submissions = new LinkedHashMap<>();
    private final Map<String, Cancellation> cancellations = new LinkedHashMap<>();
    private final List<Poll> polls = new ArrayList<>();
    private final int mostVerified;
    private boolean verifying;
    /** Final states of jobs that ended; they never change, so they may be told from memory. */
    private final Map<String, JobStatus> ended = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobStatus> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };

    private record Submission(JobRequest request, Instant came, List<Call> calls) {}

    private record Cancellation(String id, Instant came, List<Call> calls) {}

    private record Poll(String id, Instant came, Call call) {}

    UserApi(
            EventLoop loop,
            ClusterView view,
            Ledger ledger,
            Placing placing,
            RandomGenerator random,
            Metrics metrics,
            int guardsPerCommit,
            CancelledTasks cancelled,
            Runnable changed) {
        this.loop = loop;
        this.view = view;
        this.ledger = ledger;
        this.placing = placing;
        this.random = random;
        this.metrics = metrics;
        this.mostVerified = Math.min(MOST_VERIFIED, guardsPerCommit);
        this.cancelled = cancelled;
        this.changed = changed;
    }

    // Submission

    void submit(Call call) {
        JobRequest request;
        try {
            if (call.body() == null) {
                throw new MalformedException("the body is larger than allowed");
            }
            request = JobRequest.parse(Cbor.decode(call.body()));
        } catch (MalformedException e) {
            complain(call, 400, e.getMessage());
            return;
        }
        if (!ledger.entitled() || placing.types().isEmpty()) {
            call.refuse(503, RETRY_AFTER);
            return;
        }
        String id = request.id();
        if (view.job(id) != null || ended.containsKey(id)) {
            tell(id, call);
            return;
        }
        if (!placing.possible(request)) {
            // A job accepted earlier is never refused; only the store can say that it was not.
            lookUp(
                    id,
                    found -> {
                        if (found == null) {
                            complain(call, 422, "no machine type, zone or team limit allows this job");
                        } else {
                            answer(call, found);
                        }
                    },
                    () -> call.refuse(503, RETRY_AFTER));
            return;
        }
        if (submissions.size() >= MOST_PENDING) {
            call.refuse(429, RETRY_AFTER.multipliedBy(2));
            return;
        }
        submissions
                .computeIfAbsent(id, i -> new Submission(known(request), loop.now(), new ArrayList<>()))
                .calls()
                .add(call);
        changed.run();
    }

    /** The request with only those allowed types that exist, so that its record stays small. */
    private JobRequest known(JobRequest r) {
        if (r.types() == null) {
            return r;
        }
        List<String> types = placing.types().values().stream()
                .map(MachineType::name)
                .filter(r.types()::contains)
                .toList();
        return new JobRequest(
                r.id(),
                r.jobClass(),
                r.team(),
                r.shape(),
                r.rank(),
                r.tasks(),
                r.cpus(),
                r.cards(),
                r.memoryGb(),
                r.image(),
                r.imageGb(),
                types,
                r.zone(),
                r.oneZone(),
                r.spread(),
                r.spot(),
                r.estimate(),
                r.checkpoint(),
                r.save(),
                r.deadline());
    }

    // Cancellation

    void cancel(String id, Call call) {
        if (!JobRequest.isId(id)) {
            call.answer(404, new byte[0]);
        } else if (!ledger.entitled()) {
            call.refuse(503, RETRY_AFTER);
        } else if (cancellations.size() >= MOST_PENDING) {
            call.refuse(429, RETRY_AFTER);
        } else if (view.job(id) == null) {
            lookUp(
                    id,
                    found -> {
                        if (found == null) {
                            call.answer(404, new byte[0]);
                        } else if (found.state().isFinal()) {
                            answerShort(call, found);
                        } else {
                            enqueueCancel(id, call);
                        }
                    },
                    () -> call.refuse(503, RETRY_AFTER));
        } else {
            enqueueCancel(id, call);
        }
    }

    private void enqueueCancel(String id, Call call) {
        cancellations
                .computeIfAbsent(id, i -> new Cancellation(i, loop.now(), new ArrayList<>()))
                .calls()
                .add(call);
        changed.run();
    }

    // Part in the rounds of decisions

    void propose(Draft draft, Instant timeOfDay) {
        for (Cancellation cancellation : cancellations.values()) {
            JobRecord job = draft.job(cancellation.id());
            if (job != null && !job.cancelled() && draft.hasRoomFor(2)) {
                draft.putJob(job.cancel(timeOfDay));
            }
        }
        List<String> members = new ArrayList<>(view.members().keySet());
        for (Submission submission : submissions.values()) {
            JobRequest request = submission.request();
            if (draft.job(request.id()) == null && draft.hasRoomFor(2)) {
                String owner = JobRecord.isReserved(request) ? null : members.get(random.nextInt(members.size()));
                draft.rely(Keys.ended(request.id()));
                draft.put(Keys.job(request.id()), JobRecord.accepted(request, owner, timeOfDay));
            }
        }
    }

    void committed(Draft draft) {
        draft.changes().forEach((key, value) -> {
            if (value instanceof Draft.Ended end) {
                String id = key.substring(Keys.ended("").length());
                ended.put(id, new JobStatus(id, end.state(), end.done(), 0));
            }
            if (key.startsWith(Keys.JOBS)) {
                Submission submission = submissions.remove(key.substring(Keys.JOBS.length()));
                if (submission != null && value instanceof JobRecord job) {
                    LOG.debug(
                            "{} of {} accepted after {}",
                            job.request().id(),
                            job.request().jobClass(),
                            Duration.between(submission.came(), loop.now()));
                    metrics.accepted(Duration.between(submission.came(), loop.now()));
                    byte[] body = Cbor.encode(Cbor.map()
                            .put("name_id", job.request().id())
                            .put("tide", job.state().wire()));
                    submission.calls().forEach(call -> call.answer(201, body));
                }
            }
        });
        settle();
    }

    void refused(Set<String> failed) {
        for (String id : List.copyOf(submissions.keySet())) {
            if (failed.contains(Keys.ended(id))) {
                submissions.remove(id).calls().forEach(call -> tell(id, call));
            }
        }
    }

    /** Answers what the view answers by now, and gives up what took too long. */
    void settle() {
        Instant now = loop.now();
        boolean entitled = ledger.entitled();
        for (String id : List.copyOf(cancellations.keySet())) {
            Cancellation cancellation = cancellations.get(id);
            JobRecord job = view.job(id);
            if (job != null && job.cancelled()) {
                cancellations.remove(id).calls().forEach(call -> answerShort(call, job.status()));
            } else if (ended.containsKey(id)) {
                cancellations.remove(id).calls().forEach(call -> answerShort(call, ended.get(id)));
            } else if (job == null) {
                cancellations.remove(id).calls().forEach(call -> cancel(id, call));
            } else if (!entitled || cancellation.came().plus(PATIENCE).isBefore(now)) {
                cancellations.remove(id).calls().forEach(call -> call.refuse(503, RETRY_AFTER));
            }
        }
        for (String id : List.copyOf(submissions.keySet())) {
            Submission submission = submissions.get(id);
            if (view.job(id) != null) {
                submissions.remove(id).calls().forEach(call -> tell(id, call));
            } else if (!entitled || submission.came().plus(PATIENCE).isBefore(now)) {
                submissions.remove(id).calls().forEach(call -> call.refuse(503, RETRY_AFTER));
            }
        }
    }

    // Questions

    void poll(String id, Call call) {
        if (!JobRequest.isId(id)) {
            call.answer(404, new byte[0]);
        } else {
            tell(id, call);
        }
    }

    private void tell(String id, Call call) {
        JobStatus end = ended.get(id);
        JobRecord job = view.job(id);
        if (end != null) {
            answer(call, end);
        } else if (job != null && job.cancelled()) {
            answer(call, job.status());
        } else if (!ledger.fresh() || polls.size() >= MOST_PENDING) {
            call.refuse(503, RETRY_AFTER);
        } else if (job != null) {
            polls.add(new Poll(id, loop.now(), call));
            verifySoon();
        } else {
            lookUp(
                    id,
                    found -> {
                        if (found == null) {
                            call.answer(404, new byte[0]);
                        } else {
                            answer(call, found);
                        }
                    },
                    () -> call.refuse(503, RETRY_AFTER));
        }
    }

    private void verifySoon() {
        if (!verifying) {
            verifying = true;
            loop.after(ledger.questionPause(), () -> {
                verifying = false;
                verify();
            });
        }
    }

    /** Asks the store once for all questions that wait whether what is known here is still the newest. */
    private void verify() {
        if (verifying || polls.isEmpty()) {
            return;
        }
        List<Poll> batch = new ArrayList<>(polls.subList(0, Math.min(polls.size(), mostVerified)));
        polls.subList(0, batch.size()).clear();
        Map<String, JobStatus> known = new HashMap<>();
        Set<String> keys = new HashSet<>();
        for (Poll poll : batch) {
            JobRecord job = view.job(poll.id());
            if (job != null) {
                known.put(poll.id(), job.status());
                keys.add(Keys.job(poll.id()));
            }
        }
        verifying = true;
        ledger.verify(keys, stale -> {
            if (stale == null) {
                // The store was busy: ask again while the users still wait, those who can not wait come back later.
                Instant oldest = loop.now().minus(POLL_PATIENCE);
                batch.stream().filter(poll -> poll.came().isBefore(oldest)).forEach(poll -> poll.call()
                        .refuse(503, RETRY_AFTER));
                batch.removeIf(poll -> poll.came().isBefore(oldest));
                polls.addAll(0, batch);
                loop.after(VERIFY_AGAIN, () -> {
                    verifying = false;
                    verify();
                });
                return;
            }
            verifying = false;
            for (Poll poll : batch) {
                JobStatus status = known.get(poll.id());
                if (status != null && !stale.contains(Keys.job(poll.id()))) {
                    answer(poll.call(), status);
                } else {
                    lookUp(
                            poll.id(),
                            found -> {
                                if (found == null) {
                                    poll.call().answer(404, new byte[0]);
                                } else {
                                    answer(poll.call(), found);
                                }
                            },
                            () -> poll.call().refuse(503, RETRY_AFTER));
                }
            }
            if (!polls.isEmpty()) {
                verifySoon();
            }
        });
    }

    /** Reads a job's state from the store; null if there is no such job. A job only ever moves from live to ended. */
    private void lookUp(String id, Consumer<JobStatus> found, Runnable failed) {
        ledger.store().get(Keys.job(id), live -> {
            if (live.kind() != Reply.Kind.ANSWERED || live.status() != 200 && live.status() != 404) {
                failed.run();
                return;
            }
            if (live.status() == 200) {
                found.accept(recorded(id, live.body().path("v")));
                return;
            }
            ledger.store().get(Keys.ended(id), end -> {
                try {
                    if (end.kind() == Reply.Kind.ANSWERED && end.status() == 404) {
                        found.accept(null);
                    } else if (end.kind() == Reply.Kind.ANSWERED && end.status() == 200) {
                        Draft.Ended state = RecordCodec.ended(end.body().path("v"));
                        JobStatus status = new JobStatus(id, state.state(), state.done(), 0);
                        ended.put(id, status);
                        found.accept(status);
                    } else {
                        failed.run();
                    }
                } catch (MalformedException e) {
                    failed.run();
                }
            });
        });
    }

    /** A record that cannot be read still says that the job was accepted; its users must not be left without answer. */
    private JobStatus recorded(String id, JsonNode value) {
        try {
            JobRecord job = (JobRecord) RecordCodec.decode(Keys.job(id), value);
            // Its user is told of the cancellation before the watch has brought it.
            cancelled.learn(job, loop.now());
            return job.status();
        } catch (MalformedException e) {
            LOG.error("the record of {} is not of our form: {}", id, e.getMessage());
            return new JobStatus(id, value.hasNonNull("cancelled") ? JobState.CANCELLED : JobState.PENDING, 0, 0);
        }
    }

    private static void answer(Call call, JobStatus status) {
        call.answer(200, Cbor.encode(status.toNode()));
    }

    private static void answerShort(Call call, JobStatus status) {
        JobState state = status.state();
        call.answer(200, Cbor.encode(Cbor.map().put("name_id", status.id()).put("tide", state.wire())));
    }

    private static void complain(Call call, int status, String why) {
        call.answer(status, Cbor.encode(Cbor.map().put("error", why)));
    }
}
