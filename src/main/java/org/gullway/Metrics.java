package org.gullway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.gullway.coordination.Keys;
import org.gullway.requests.RequestMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts and latencies, logged in one line for each interval. */
final class Metrics implements RequestMetrics {
    private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
    private static final long LONGEST_MS = 60_000;

    private final MeterRegistry registry = new SimpleMeterRegistry();
    private final Counter commits = registry.counter("commits");
    private final Counter refusals = registry.counter("commits.refused");
    private final Counter pushes = registry.counter("pushes");
    private final Counter offers = registry.counter("offers");
    private final Counter jobChanges = registry.counter("changes.jobs");
    private final Counter groupChanges = registry.counter("changes.groups");
    private final Counter otherChanges = registry.counter("changes.other");
    private final Counter questionsAnswered = registry.counter("questions.answered");
    private final Counter questionsRefused = registry.counter("questions.refused");
    private final Counter violations = registry.counter("invariants.violated");
    private final Histogram acceptance = new Histogram(LONGEST_MS, 2);
    private final Histogram commit = new Histogram(LONGEST_MS, 2);
    private final Histogram round = new Histogram(LONGEST_MS, 2);

    private static void record(Histogram histogram, Duration time) {
        histogram.recordValue(Math.min(LONGEST_MS, Math.max(0, TimeUnit.NANOSECONDS.toMillis(time.toNanos()))));
    }

    @Override
    public void accepted(Duration time) {
        record(acceptance, time);
    }

    void committed(boolean done, Set<String> keys, Duration time) {
        (done ? commits : refusals).increment();
        record(commit, time);
        for (String key : keys) {
            (key.startsWith(Keys.JOBS) ? jobChanges : key.startsWith(Keys.GROUPS) ? groupChanges : otherChanges)
                    .increment();
        }
    }

    void round(Duration time) {
        record(round, time);
    }

    void pushed() {
        pushes.increment();
    }

    void offered() {
        offers.increment();
    }

    @Override
    public void questions(boolean answered, int count) {
        (answered ? questionsAnswered : questionsRefused).increment(count);
    }

    /** An assertion of this program failed. */
    void invariantViolated() {
        violations.increment();
    }

    void log(String situation) {
        LOG.info(
                "{} accepted={} p99={}ms commits={} refused={} changes={}/{}/{} p50={}ms p99={}ms rounds={} max={}ms pushes={} offers={} questions={}/{} violations={}",
                situation,
                acceptance.getTotalCount(),
                acceptance.getValueAtPercentile(99),
                (long) commits.count(),
                (long) refusals.count(),
                (long) jobChanges.count(),
                (long) groupChanges.count(),
                (long) otherChanges.count(),
                commit.getValueAtPercentile(50),
                commit.getValueAtPercentile(99),
                round.getTotalCount(),
                round.getMaxValue(),
                (long) pushes.count(),
                (long) offers.count(),
                (long) questionsAnswered.count(),
                (long) questionsRefused.count(),
                (long) violations.count());
        acceptance.reset();
        commit.reset();
        round.reset();
    }
}
