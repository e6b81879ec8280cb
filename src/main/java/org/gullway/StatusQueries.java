package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.bookkeeping.Ledger;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;

/**
 * Users' questions about their jobs. Final states are told from memory; any other state only after the store has
 * confirmed that it is still the newest, with one request for all questions that wait.
 */
final class StatusQueries {
    private static final int MOST_PENDING = 500;
    private static final int MOST_VERIFIED = 60;
    private static final Duration VERIFY_AGAIN = Duration.ofMillis(200);
    private static final Duration PATIENCE = Duration.ofMillis(1200);

    private final EventLoop loop;
    private final ClusterView view;
    private final Ledger ledger;
    private final FinalStates finals;
    private final JobLookUps lookUps;
    private final int mostVerified;
    private final List<Poll> polls = new ArrayList<>();
    private boolean verifying;

    private record Poll(String id, Instant came, Call call) {}

    StatusQueries(
            EventLoop loop,
            ClusterView view,
            Ledger ledger,
            FinalStates finals,
            JobLookUps lookUps,
            int guardsPerCommit) {
        this.loop = loop;
        this.view = view;
        this.ledger = ledger;
        this.finals = finals;
        this.lookUps = lookUps;
        this.mostVerified = Math.min(MOST_VERIFIED, guardsPerCommit);
    }

    /** Answers a user's question. */
    void poll(String id, Call call) {
        if (JobRequest.isId(id)) {
            tell(id, call);
        } else {
            UserAnswers.unknown(call);
        }
    }

    /** Tells the state of a job, which is not older than what any controller has told before. */
    void tell(String id, Call call) {
        JobStatus end = finals.of(id);
        JobRecord job = view.job(id);
        if (end != null) {
            UserAnswers.status(call, end);
        } else if (job != null && job.cancelled()) {
            UserAnswers.status(call, job.status());
        } else if (!ledger.fresh() || polls.size() >= MOST_PENDING) {
            UserAnswers.refuse(call);
        } else if (job != null) {
            polls.add(new Poll(id, loop.now(), call));
            verifySoon();
        } else {
            lookUp(id, call);
        }
    }

    private void lookUp(String id, Call call) {
        lookUps.lookUp(id, found -> UserAnswers.found(call, found), () -> UserAnswers.refuse(call));
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
                askAgain(batch);
            } else {
                verifying = false;
                answer(batch, known, stale);
            }
        });
    }

    /** The store was busy: asks again while the users still wait; those who cannot wait come back later. */
    private void askAgain(List<Poll> batch) {
        Instant oldest = loop.now().minus(PATIENCE);
        batch.stream().filter(poll -> poll.came().isBefore(oldest)).forEach(poll -> UserAnswers.refuse(poll.call()));
        batch.removeIf(poll -> poll.came().isBefore(oldest));
        polls.addAll(0, batch);
        loop.after(VERIFY_AGAIN, () -> {
            verifying = false;
            verify();
        });
    }

    private void answer(List<Poll> batch, Map<String, JobStatus> known, Set<String> stale) {
        for (Poll poll : batch) {
            JobStatus status = known.get(poll.id());
            if (status != null && !stale.contains(Keys.job(poll.id()))) {
                UserAnswers.status(poll.call(), status);
            } else {
                lookUp(poll.id(), poll.call());
            }
        }
        if (!polls.isEmpty()) {
            verifySoon();
        }
    }
}
