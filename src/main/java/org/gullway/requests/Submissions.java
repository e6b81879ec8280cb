package org.gullway.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gullway.bookkeeping.Ledger;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.coordination.PlacementConstraints;
import org.gullway.coordination.Transaction;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MalformedException;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Submissions from their arrival until the job is on record and its user has been told so. */
final class Submissions {
    private static final Logger LOG = LoggerFactory.getLogger(Submissions.class);
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final int MOST_PENDING = 500;
    private static final String IMPOSSIBLE = "no machine type, zone or team limit allows this job";

    private final EventLoop loop;
    private final ClusterView view;
    private final Ledger ledger;
    private final PlacementConstraints placing;
    private final RandomGenerator random;
    private final RequestMetrics metrics;
    private final FinalStates finals;
    private final JobLookUps lookUps;
    private final StatusQueries queries;
    private final StateAnswers answers;
    private final Runnable changed;
    private final Map<String, Submission> pending = new LinkedHashMap<>();

    private record Submission(JobRequest request, Instant came, List<UserCall> calls) {}

    /** @param changed asks for a round of decisions */
    Submissions(
            EventLoop loop,
            ClusterView view,
            Ledger ledger,
            PlacementConstraints placing,
            RandomGenerator random,
            RequestMetrics metrics,
            FinalStates finals,
            JobLookUps lookUps,
            StatusQueries queries,
            StateAnswers answers,
            Runnable changed) {
        this.loop = loop;
        this.view = view;
        this.ledger = ledger;
        this.placing = placing;
        this.random = random;
        this.metrics = metrics;
        this.finals = finals;
        this.lookUps = lookUps;
        this.queries = queries;
        this.answers = answers;
        this.changed = changed;
    }

    /** Reads a submission and answers it, at once or when the job is on record. */
    void submit(UserCall call) {
        JobRequest request;
        try {
            request = read(call.call());
        } catch (MalformedException e) {
            UserAnswers.complain(call.call(), 400, e.getMessage());
            return;
        }
        String id = request.id();
        if (!ledger.entitled() || placing.types().isEmpty()) {
            UserAnswers.refuse(call.call());
        } else if (view.job(id) != null || finals.contains(id)) {
            queries.tellSubmitter(id, call);
        } else if (!placing.possible(request)) {
            refuseUnlessAccepted(id, call);
        } else if (pending.size() >= MOST_PENDING) {
            call.call().refuse(429, UserAnswers.RETRY_AFTER.multipliedBy(2));
        } else {
            enqueue(request, call);
        }
    }

    private static JobRequest read(Call call) throws MalformedException {
        if (call.body() == null) {
            throw new MalformedException("the body is larger than allowed");
        }
        return JobRequest.parse(Cbor.decode(call.body()));
    }

    /** A job accepted earlier is never refused; only the store can say that it was not. */
    private void refuseUnlessAccepted(String id, UserCall call) {
        lookUps.lookUp(
                id, found -> answers.answerImpossible(call, found, IMPOSSIBLE), () -> UserAnswers.refuse(call.call()));
    }

    private void enqueue(JobRequest request, UserCall call) {
        pending.computeIfAbsent(
                        request.id(), i -> new Submission(withKnownTypes(request), loop.now(), new ArrayList<>()))
                .calls()
                .add(call);
        changed.run();
    }

    /** The request with only those allowed types that exist, so that its record stays small. */
    private JobRequest withKnownTypes(JobRequest r) {
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

    /** Adds the records of jobs that wait for acceptance to the draft, as far as it has room. */
    void propose(Transaction draft, Instant timeOfDay) {
        List<String> members = new ArrayList<>(view.members().keySet());
        for (Submission submission : pending.values()) {
            JobRequest request = submission.request();
            if (draft.job(request.id()) == null && draft.hasRoomFor(2)) {
                String owner = JobRecord.isReserved(request) ? null : members.get(random.nextInt(members.size()));
                draft.rely(Keys.ended(request.id()));
                draft.put(Keys.job(request.id()), JobRecord.accepted(request, owner, timeOfDay));
            }
        }
    }

    /**
     * The record of this job has been committed. That answers the submissions that came before the commit was sent; the
     * answer to a commit can come late, after the job was cancelled and submitted again (incident went-back-384079), so
     * all others are told what the job's state is by now.
     */
    void committed(JobRecord job, Evidence evidence) {
        String id = job.request().id();
        Submission submission = pending.remove(id);
        if (submission == null) {
            return;
        }
        boolean newest = view.mark(Keys.job(id)) == evidence.revision();
        JobFinding found = new JobFinding(id, job.status(), evidence);
        for (UserCall call : submission.calls()) {
            if (newest && evidence.covers(call.came())) {
                accepted(job, call, found);
            } else {
                queries.tellSubmitter(id, call);
            }
        }
    }

    private void accepted(JobRecord job, UserCall call, JobFinding found) {
        Duration took = Duration.between(call.came(), loop.now());
        LOG.debug("{} of {} accepted after {}", found.id(), job.request().jobClass(), took);
        metrics.accepted(took);
        answers.answerAccepted(call, found);
    }

    /** Answers submissions of jobs that turned out to have ended before. */
    void refused(Set<String> failedGuards) {
        for (String id : List.copyOf(pending.keySet())) {
            if (failedGuards.contains(Keys.ended(id))) {
                pending.remove(id).calls().forEach(call -> queries.tellSubmitter(id, call));
            }
        }
    }

    /** Answers what the view answers by now, and gives up what took too long. */
    void settle() {
        Instant now = loop.now();
        boolean entitled = ledger.entitled();
        for (String id : List.copyOf(pending.keySet())) {
            Submission submission = pending.get(id);
            if (view.job(id) != null) {
                pending.remove(id).calls().forEach(call -> queries.tellSubmitter(id, call));
            } else if (!entitled || submission.came().plus(PATIENCE).isBefore(now)) {
                pending.remove(id).calls().forEach(call -> UserAnswers.refuse(call.call()));
            }
        }
    }
}
