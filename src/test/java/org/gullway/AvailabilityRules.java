package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.transport.HttpStatus;

/** An accepted job is not forgotten: it stays known, and queries about it are answered. */
final class AvailabilityRules {
    /** A job about which no query is answered for so long after all faults is forgotten. */
    private static final Duration MAX_UNANSWERED_AFTER_FAULTS = Duration.ofSeconds(75);
    /** The same while most other queries are answered, whatever faults there are. */
    private static final Duration MAX_UNANSWERED_ALONE = Duration.ofSeconds(90);

    private record Query(Instant sent, String job, boolean answered) {}

    private final List<String> violations;
    private final Deque<Query> recentQueries = new ArrayDeque<>();
    /** When the last query that was answered had been sent, by job. */
    private final Map<String, Instant> lastAnswered = new HashMap<>();

    private final Set<String> violated = new HashSet<>();
    private Instant faultsEndedAt;

    AvailabilityRules(List<String> violations) {
        this.violations = violations;
    }

    void onFaultsEnded(Instant now) {
        faultsEndedAt = now;
    }

    /** A query about an accepted job has ended, with an answer or without; 404 is no answer. */
    void onQueried(ObservedJob job, int status, Instant sent, Instant now) {
        String id = job.id();
        if (status == HttpStatus.NOT_FOUND) {
            violations.add("forgotten: " + id + " gets 404 at " + now);
        }
        if (status == HttpStatus.OK) {
            lastAnswered.put(id, sent);
        }
        Instant oldest = sent.minus(MAX_UNANSWERED_ALONE);
        recentQueries.add(new Query(sent, id, status == HttpStatus.OK));
        while (recentQueries.peek().sent().isBefore(oldest)) {
            recentQueries.remove();
        }
        if (violated.contains(id)) {
            return;
        }
        Instant answered = lastAnswered.getOrDefault(id, job.acceptedAt());
        if (faultsEndedAt != null
                && later(answered, faultsEndedAt)
                        .plus(MAX_UNANSWERED_AFTER_FAULTS)
                        .isBefore(sent)) {
            violations.add("forgotten: nothing is answered about " + id + " at " + now);
            violated.add(id);
        } else if (!answered.isAfter(oldest) && mostOthersAnswered(id)) {
            violations.add("forgotten: " + id + " alone is not answered at " + now);
            violated.add(id);
        }
    }

    private boolean mostOthersAnswered(String id) {
        long others =
                recentQueries.stream().filter(query -> !query.job().equals(id)).count();
        long answered = recentQueries.stream()
                .filter(query -> !query.job().equals(id) && query.answered())
                .count();
        return 2 * answered > others;
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    /** A repeated submission of a job that is known was answered with this status. */
    void onResubmitted(String id, int status, Instant now) {
        if (status == HttpStatus.CREATED || status == HttpStatus.BAD_REQUEST || status == HttpStatus.UNPROCESSABLE) {
            violations.add("forgotten: " + id + " submitted again gets " + status + " at " + now);
        }
    }
}
