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

/** Counts and latencies, logged in one line for each interval. */
public final class Metrics implements RequestMetrics {
    private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
    private static final long LONGEST_MS = 60_000;

    private long commits;
    private long refusals;
    private long commandBatches;
    private long offers;
    private long jobChanges;
    private long groupChanges;
    private long otherChanges;
    private long questionsAnswered;
    private long questionsRefused;
    private long violations;
    /** Set up with the first line of figures: while a controller starts, its processor time is short. */
    private MeterRegistry registry;

    private final Histogram acceptance = new Histogram(LONGEST_MS, 2);
    private final Histogram commit = new Histogram(LONGEST_MS, 2);
    private final Histogram cycle = new Histogram(LONGEST_MS, 2);

    private static void record(Histogram histogram, Duration time) {
        histogram.recordValue(Math.min(LONGEST_MS, Math.max(0, TimeUnit.NANOSECONDS.toMillis(time.toNanos()))));
    }

    @Override
    public void submissionAccepted(Duration time) {
        record(acceptance, time);
    }

    /** A transaction that changed these keys was committed or refused, so long after its cycle began. */
    public void commitFinished(boolean done, Set<String> keys, Duration time) {
        if (done) {
            commits++;
        } else {
            refusals++;
        }
        record(commit, time);
        keys.forEach(this::changed);
    }

    private void changed(String key) {
        if (key.startsWith(StoreKeys.JOBS)) {
            jobChanges++;
        } else if (key.startsWith(StoreKeys.SHARDS)) {
            groupChanges++;
        } else {
            otherChanges++;
        }
    }

    public void cycleFinished(Duration time) {
        record(cycle, time);
    }

    public void commandSent() {
        commandBatches++;
    }

    public void offerSent() {
        offers++;
    }

    @Override
    public void statusQueries(boolean answered, int count) {
        if (answered) {
            questionsAnswered += count;
        } else {
            questionsRefused += count;
        }
    }

    /** An assertion of this program failed. */
    void invariantViolated() {
        violations++;
    }

    private MeterRegistry registry() {
        if (registry == null) {
            registry = new SimpleMeterRegistry();
            register("commits", metrics -> metrics.commits);
            register("commits.refused", metrics -> metrics.refusals);
            register("pushes", metrics -> metrics.commandBatches);
            register("offers", metrics -> metrics.offers);
            register("changes.jobs", metrics -> metrics.jobChanges);
            register("changes.groups", metrics -> metrics.groupChanges);
            register("changes.other", metrics -> metrics.otherChanges);
            register("questions.answered", metrics -> metrics.questionsAnswered);
            register("questions.refused", metrics -> metrics.questionsRefused);
            register("invariants.violated", metrics -> metrics.violations);
        }
        return registry;
    }

    private void register(String name, ToDoubleFunction<Metrics> count) {
        FunctionCounter.builder(name, this, count).register(registry);
    }

    private long count(String name) {
        return (long) registry().get(name).functionCounter().count();
    }

    /** Logs one line of figures and begins new histograms. */
    public void log(String situation) {
        LOG.info(
                "{} accepted={} p99={}ms commits={} refused={} changes={}/{}/{} p50={}ms p99={}ms rounds={} max={}ms pushes={} offers={} questions={}/{} violations={}",
                situation,
                acceptance.getTotalCount(),
                acceptance.getValueAtPercentile(99),
                count("commits"),
                count("commits.refused"),
                count("changes.jobs"),
                count("changes.groups"),
                count("changes.other"),
                commit.getValueAtPercentile(50),
                commit.getValueAtPercentile(99),
                cycle.getTotalCount(),
                cycle.getMaxValue(),
                count("pushes"),
                count("offers"),
                count("questions.answered"),
                count("questions.refused"),
                count("invariants.violated"));
        acceptance.reset();
        commit.reset();
        cycle.reset();
    }
}
