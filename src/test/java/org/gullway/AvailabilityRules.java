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

/** Checks that an accepted job stays known to all controllers and that queries about the job are answered. */
final class AvailabilityRules {
    /** After all faults have ended, at least one query about each job must be answered within this time. */
    private static final Duration MAX_UNANSWERED_AFTER_FAULTS = Duration.ofSeconds(75);
    /** During faults, the limit that applies to a job while most queries about other jobs are answered. */
    private static final Duration MAX_UNANSWERED_IF_OTHERS_ARE_ANSWERED = Duration.ofSeconds(90);

    private record Query(Instant sentAt, String job, boolean answered) {}

    private final List<String> violations;
    private final Deque<Query> recentQueries = new ArrayDeque<>();
    /** Send time of the last answered query, by job id. */
    private final Map<String, Instant> lastAnsweredQuerySentAt = new HashMap<>();

    private final Set<String> jobsInViolation = new HashSet<>();
    private Instant faultsEndedAt;

    AvailabilityRules(List<String> violations) {
        this.violations = violations;
    }

    void onFaultsEnded(Instant now) {
        faultsEndedAt = now;
    }

    /** Handles the end of a query about an accepted job. Only status 200 counts as an answer; 404 is a violation. */
    void onQueried(ObservedJob job, int status, Instant sentAt, Instant now) {
        String id = job.id();
        if (status == HttpStatus.NOT_FOUND) {
            violations.add("forgotten: " + id + " gets 404 at " + now);
        }
        if (status == HttpStatus.OK) {
            lastAnsweredQuerySentAt.put(id, sentAt);
        }
        Instant oldest = sentAt.minus(MAX_UNANSWERED_IF_OTHERS_ARE_ANSWERED);
        recentQueries.add(new Query(sentAt, id, status == HttpStatus.OK));
        while (recentQueries.peek().sentAt().isBefore(oldest)) {
            recentQueries.remove();
        }
        if (jobsInViolation.contains(id)) {
            return;
        }
        Instant lastAnswer = lastAnsweredQuerySentAt.getOrDefault(id, job.acceptedAt());
        if (faultsEndedAt != null
                && later(lastAnswer, faultsEndedAt)
                        .plus(MAX_UNANSWERED_AFTER_FAULTS)
                        .isBefore(sentAt)) {
            violations.add("forgotten: no query about " + id + " is answered since " + lastAnswer + ", limit "
                    + MAX_UNANSWERED_AFTER_FAULTS + ", now " + now);
            jobsInViolation.add(id);
        } else if (!lastAnswer.isAfter(oldest) && mostOthersAnswered(id)) {
            violations.add("forgotten: only queries about " + id + " are not answered since " + lastAnswer + ", limit "
                    + MAX_UNANSWERED_IF_OTHERS_ARE_ANSWERED + ", now " + now);
            jobsInViolation.add(id);
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

    /** Handles the response to a repeated submission of an accepted job. */
    void onResubmitted(String id, int status, Instant now) {
        if (status == HttpStatus.CREATED || status == HttpStatus.BAD_REQUEST || status == HttpStatus.UNPROCESSABLE) {
            violations.add("forgotten: " + id + " submitted again gets " + status + " at " + now);
        }
    }
}
