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

/** Counters since the start and latencies since the last log line, logged in one line for each interval. */
public final class Metrics implements RequestMetrics {
    private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
    private static final String LINE = "{} submissions_accepted={} submission_p99_ms={}"
            + " commits={} conflicts={} job_changes={} shard_changes={} other_changes={}"
            + " commit_p50_ms={} commit_p99_ms={} cycles={} cycle_max_ms={}"
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

    private static final long MAX_RECORDED_MS = 60_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private long commits;
    private long conflicts;
    private long jobChanges;
    private long shardChanges;
    private long otherChanges;
    private long commandBatches;
    private long resourceOffers;
    private long queriesAnswered;
    private long queriesRejected;
    private long invariantViolations;
    /** Set up with the first log line: while a controller starts, processor time is scarce. */
    private MeterRegistry registry;

    private final Histogram submissionLatency = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    private final Histogram commitLatency = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    private final Histogram cycleTime = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);

    private static void record(Histogram histogram, Duration time) {
        long millis = TimeUnit.NANOSECONDS.toMillis(time.toNanos());
        histogram.recordValue(Math.min(MAX_RECORDED_MS, Math.max(0, millis)));
    }

    @Override
    public void submissionAccepted(Duration time) {
        record(submissionLatency, time);
    }

    /**
     * Takes note of the outcome of a transaction.
     *
     * @param keys the keys that it changes
     * @param time since its scheduling cycle began
     */
    public void commitFinished(boolean committed, Set<String> keys, Duration time) {
        if (committed) {
            commits++;
        } else {
            conflicts++;
        }
        record(commitLatency, time);
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

    public void cycleFinished(Duration time) {
        record(cycleTime, time);
    }

    public void commandBatchSent() {
        commandBatches++;
    }

    public void offerBatchSent() {
        resourceOffers++;
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
            register(COMMITS, metrics -> metrics.commits);
            register(CONFLICTS, metrics -> metrics.conflicts);
            register(JOB_CHANGES, metrics -> metrics.jobChanges);
            register(SHARD_CHANGES, metrics -> metrics.shardChanges);
            register(OTHER_CHANGES, metrics -> metrics.otherChanges);
            register(COMMAND_BATCHES, metrics -> metrics.commandBatches);
            register(RESOURCE_OFFERS, metrics -> metrics.resourceOffers);
            register(QUERIES_ANSWERED, metrics -> metrics.queriesAnswered);
            register(QUERIES_REJECTED, metrics -> metrics.queriesRejected);
            register(INVARIANT_VIOLATIONS, metrics -> metrics.invariantViolations);
        }
        return registry;
    }

    private void register(String name, ToDoubleFunction<Metrics> count) {
        FunctionCounter.builder(name, this, count).register(registry);
    }

    private long count(String name) {
        return (long) registry().get(name).functionCounter().count();
    }

    /** Logs one line and starts new histograms. */
    public void log(ClusterSummary cluster) {
        LOG.info(
                LINE,
                cluster.toLogPairs(),
                submissionLatency.getTotalCount(),
                submissionLatency.getValueAtPercentile(99),
                count(COMMITS),
                count(CONFLICTS),
                count(JOB_CHANGES),
                count(SHARD_CHANGES),
                count(OTHER_CHANGES),
                commitLatency.getValueAtPercentile(50),
                commitLatency.getValueAtPercentile(99),
                cycleTime.getTotalCount(),
                cycleTime.getMaxValue(),
                count(COMMAND_BATCHES),
                count(RESOURCE_OFFERS),
                count(QUERIES_ANSWERED),
                count(QUERIES_REJECTED),
                count(INVARIANT_VIOLATIONS));
        submissionLatency.reset();
        commitLatency.reset();
        cycleTime.reset();
    }
}
