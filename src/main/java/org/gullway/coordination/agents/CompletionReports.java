package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.AttemptId;

/** When completions seen on one machine, which are not on record yet, were reported to the writer of their record. */
final class CompletionReports {
    private record Report(Instant first, Instant last) {}

    private final Map<AttemptId, Report> reports = new HashMap<>();

    /** Whether the completion is to be reported now, and if so notes it as reported; repeated after the interval. */
    boolean tryReport(AttemptId id, Instant now, Duration retryInterval) {
        Report before = reports.get(id);
        if (before != null && before.last().plus(retryInterval).isAfter(now)) {
            return false;
        }
        reports.put(id, new Report(before == null ? now : before.first(), now));
        return true;
    }

    /** Whether the completion was reported for the first time before this moment. */
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
