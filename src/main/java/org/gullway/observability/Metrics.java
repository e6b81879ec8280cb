package org.gullway.observability;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.gullway.api.RequestMetrics;
import org.gullway.coordination.model.StoreKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs counters and latencies in one line per log interval. Counters are cumulative since the start of the process,
 * except that the numbers of accepted submissions and of cycles, like all latencies, cover the time since the last log
 * line.
 */
public final class Metrics implements RequestMetrics {
    private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
    private static final String LOG_FORMAT = "{} submissions_accepted={} submission_p99_ms={}"
            + " commits={} conflicts={} job_changes={} shard_changes={} other_changes={}"
            + " commit_p50_ms={} commit_p99_ms={} commit_in_flight_ms={} cycles={} cycle_max_ms={}"
            + " command_batches={} resource_offers={} status_queries_answered={} status_queries_rejected={}"
            + " invariant_violations={}";

    private static final String COMMITS = "commits";
    private static final String CONFLICTS = "conflicts";
    private static final String JOB_CHANGES = "changes.jobs";
    private static final String SHARD_CHANGES = "changes.shards";
    private static final String OTHER_CHANGES = "changes.other";
    private static final String COMMAND_BATCHES = "command.batches";
    private static final String RESOURCE_OFFERS = "resource.offers";
    private static final String QUERIES_ANSWERED = "status.queries.answered";
    private static final String QUERIES_REJECTED = "status.queries.rejected";
    private static final String INVARIANT_VIOLATIONS = "invariant.violations";

    /** A longer latency is recorded as this value. */
    private static final long MAX_RECORDED_MS = 60_000;

    private static final int SIGNIFICANT_DIGITS = 2;

    private long commits;
    private long conflicts;
    private long jobChanges;
    private long shardChanges;
    private long otherChanges;
    private long commandBatches;
    private long offerBatches;
    private long queriesAnswered;
    private long queriesRejected;
    private long invariantViolations;
    /** Created with the first log line, because CPU time is scarce while a controller starts; null until then. */
    private MeterRegistry registry;

    private final Histogram submissionLatency = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    private final Histogram commitLatency = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    private final Histogram cycleDuration = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);

    private static void record(Histogram histogram, Duration latency) {
        long millis = TimeUnit.NANOSECONDS.toMillis(latency.toNanos());
        histogram.recordValue(Math.min(MAX_RECORDED_MS, Math.max(0, millis)));
    }

    @Override
    public void submissionAccepted(Duration latency) {
        record(submissionLatency, latency);
    }

    /**
     * Counts a transaction that was either confirmed by the state store or cannot be applied any more. Its latency and
     * its keys are recorded in both cases.
     *
     * @param committed whether the state store confirmed the commit; if not, the transaction counts as a conflict,
     *     although a transaction that had to be fenced may have been applied
     * @param keys the keys that the transaction changes
     * @param latency the time from the start of the transaction's scheduling cycle until the outcome was known
     */
    public void transactionFinished(boolean committed, Set<String> keys, Duration latency) {
        if (committed) {
            commits++;
        } else {
            conflicts++;
        }
        record(commitLatency, latency);
        keys.forEach(this::countChange);
    }

    private void countChange(String key) {
        if (key.startsWith(StoreKeys.JOBS)) {
            jobChanges++;
        } else if (key.startsWith(StoreKeys.SHARDS)) {
            shardChanges++;
        } else {
            otherChanges++;
        }
    }

    public void cycleFinished(Duration elapsed) {
        record(cycleDuration, elapsed);
    }

    public void commandBatchSent() {
        commandBatches++;
    }

    public void offerBatchSent() {
        offerBatches++;
    }

    @Override
    public void statusQueriesAnswered(int count) {
        queriesAnswered += count;
    }

    @Override
    public void statusQueriesRejected(int count) {
        queriesRejected += count;
    }

    void invariantViolated() {
        invariantViolations++;
    }

    private MeterRegistry registry() {
        if (registry == null) {
            registry = new SimpleMeterRegistry();
            registerCounter(COMMITS, metrics -> metrics.commits);
            registerCounter(CONFLICTS, metrics -> metrics.conflicts);
            registerCounter(JOB_CHANGES, metrics -> metrics.jobChanges);
            registerCounter(SHARD_CHANGES, metrics -> metrics.shardChanges);
            registerCounter(OTHER_CHANGES, metrics -> metrics.otherChanges);
            registerCounter(COMMAND_BATCHES, metrics -> metrics.commandBatches);
            registerCounter(RESOURCE_OFFERS, metrics -> metrics.offerBatches);
            registerCounter(QUERIES_ANSWERED, metrics -> metrics.queriesAnswered);
            registerCounter(QUERIES_REJECTED, metrics -> metrics.queriesRejected);
            registerCounter(INVARIANT_VIOLATIONS, metrics -> metrics.invariantViolations);
        }
        return registry;
    }

    private void registerCounter(String name, ToDoubleFunction<Metrics> value) {
        FunctionCounter.builder(name, this, value).register(registry);
    }

    private long counterValue(String name) {
        return (long) registry().get(name).functionCounter().count();
    }

    /**
     * Logs all metrics in one line and resets the histograms. The counters keep their values.
     *
     * @param commitInFlightTime how long the transaction in flight has been waiting for its outcome; zero if there is
     *     none
     */
    public void log(ClusterSummary cluster, Duration commitInFlightTime) {
        LOG.info(
                LOG_FORMAT,
                cluster.toLogPairs(),
                submissionLatency.getTotalCount(),
                submissionLatency.getValueAtPercentile(99),
                counterValue(COMMITS),
                counterValue(CONFLICTS),
                counterValue(JOB_CHANGES),
                counterValue(SHARD_CHANGES),
                counterValue(OTHER_CHANGES),
                commitLatency.getValueAtPercentile(50),
                commitLatency.getValueAtPercentile(99),
                commitInFlightTime.toMillis(),
                cycleDuration.getTotalCount(),
                cycleDuration.getMaxValue(),
                counterValue(COMMAND_BATCHES),
                counterValue(RESOURCE_OFFERS),
                counterValue(QUERIES_ANSWERED),
                counterValue(QUERIES_REJECTED),
                counterValue(INVARIANT_VIOLATIONS));
        submissionLatency.reset();
        commitLatency.reset();
        cycleDuration.reset();
    }
}
