package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.AttemptId;

/**
 * Tracks when completions seen on one machine, but not on record yet, were reported to the controller that writes the
 * job's record.
 */
final class CompletionReports {
    private record Report(Instant first, Instant last) {}

    private final Map<AttemptId, Report> reports = new HashMap<>();

    /**
     * Returns whether the completion is due to be reported, and if so marks it as reported now. A reported completion
     * is due again after the retry interval.
     */
    boolean tryReport(AttemptId id, Instant now, Duration retryInterval) {
        Report before = reports.get(id);
        if (before != null && before.last().plus(retryInterval).isAfter(now)) {
            return false;
        }
        reports.put(id, new Report(before == null ? now : before.first(), now));
        return true;
    }

    /** Returns whether the first report of the completion was made before the limit. */
    boolean isReportedBefore(AttemptId id, Instant limit) {
        Report report = reports.get(id);
        return report != null && report.first().isBefore(limit);
    }

    void retainAll(Set<AttemptId> attempts) {
        reports.keySet().retainAll(attempts);
    }

    void clear() {
        reports.clear();
    }
}
