package org.gullway.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.storage.RecordCodec;
import org.gullway.storage.StateStoreClient;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the states of jobs from the state service, where the view cannot tell them. Readings of one job are joined, and
 * all of them keep to one budget: what would have to wait too long for it is refused at once.
 */
final class JobLookup {
    private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);
    /** Longer than this nobody should wait for the budget. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final TokenBucket budget;
    private final FinalStateCache finalStates;
    private final CancellationEnforcer cancellationEnforcer;
    /** Readings that have not been sent yet, in order, and those that have been. */
    private final Map<String, Reading> waiting = new LinkedHashMap<>();

    private final Map<String, Reading> sent = new HashMap<>();
    private boolean scheduled;

    /** Somebody who wants to know the state of a job. */
    private record Asker(Consumer<JobLookupResult> found, Runnable failed) {}

    /** One reading of a job's state, with all who wait for it. */
    private static final class Reading {
        private final String id;
        /** The job is known to be over, so that there is no live record to read. */
        private boolean surelyEnded;
        /** When the first of its requests was sent. */
        private Instant sentAt;

        private final List<Asker> askers = new ArrayList<>();
        /** Asked after the reading was sent: it may be too old for them unless it shows a final state. */
        private final List<Asker> late = new ArrayList<>();

        Reading(String id, boolean surelyEnded) {
            this.id = id;
            this.surelyEnded = surelyEnded;
        }
    }

    /** @param budget what the readings may use of the state service's requests */
    JobLookup(
            EventLoop loop,
            StateStoreClient store,
            TokenBucket budget,
            FinalStateCache finalStates,
            CancellationEnforcer cancellationEnforcer) {
        this.loop = loop;
        this.store = store;
        this.budget = budget;
        this.finalStates = finalStates;
        this.cancellationEnforcer = cancellationEnforcer;
    }

    /**
     * Reads a job's state from the store. A job only ever moves from live to ended.
     *
     * @param found is told the state, or that there is no such job
     * @param failed is run if the state cannot be told now, perhaps at once
     */
    void lookUp(String id, Consumer<JobLookupResult> found, Runnable failed) {
        ask(id, false, new Asker(found, failed));
    }

    /** The same for a job of which it is known that it is over. */
    void lookUpFinished(String id, Consumer<JobLookupResult> found, Runnable failed) {
        ask(id, true, new Asker(found, failed));
    }

    private void ask(String id, boolean surelyEnded, Asker asker) {
        JobStatus end = finalStates.of(id);
        if (end != null) {
            asker.found().accept(JobLookupResult.ofFinalState(end));
        } else if (waiting.containsKey(id)) {
            Reading reading = waiting.get(id);
            reading.askers.add(asker);
            reading.surelyEnded |= surelyEnded;
        } else if (sent.containsKey(id)) {
            sent.get(id).late.add(asker);
        } else if (budget.timeUntilAvailable(requestsWaiting() + 1).compareTo(LONGEST_WAIT) > 0) {
            asker.failed().run();
        } else {
            Reading reading = new Reading(id, surelyEnded);
            reading.askers.add(asker);
            waiting.put(id, reading);
            sendSoon();
        }
    }

    /** At most, since a live record spares the reading of the ended one. */
    private int requestsWaiting() {
        return waiting.values().stream()
                .mapToInt(reading -> reading.surelyEnded ? 1 : 2)
                .sum();
    }

    private void sendWhatMayBeSent() {
        while (!waiting.isEmpty() && budget.hasToken()) {
            Reading next = waiting.remove(waiting.keySet().iterator().next());
            next.sentAt = loop.now();
            sent.put(next.id, next);
            if (next.surelyEnded) {
                readEnded(next);
            } else {
                readLive(next);
            }
        }
        sendSoon();
    }

    /** A little later, so that those who ask for the same job at the same time share a reading. */
    private void sendSoon() {
        if (!waiting.isEmpty() && !scheduled) {
            scheduled = true;
            loop.after(budget.batchingDelay(), () -> {
                scheduled = false;
                sendWhatMayBeSent();
            });
        }
    }

    private void readLive(Reading reading) {
        budget.consume(1);
        store.get(StoreKeys.job(reading.id), live -> {
            if (live.kind() != HttpResponse.Outcome.ANSWERED || live.status() != 200 && live.status() != 404) {
                fail(reading);
            } else if (live.status() == 200) {
                tell(reading, recorded(reading.id, live.body().path("v")), live.revision());
            } else {
                readEnded(reading);
            }
        });
    }

    private void readEnded(Reading reading) {
        budget.consume(1);
        store.get(StoreKeys.finalState(reading.id), end -> {
            if (end.kind() == HttpResponse.Outcome.ANSWERED && end.status() == 404) {
                tell(reading, null, end.revision());
                return;
            }
            if (end.kind() != HttpResponse.Outcome.ANSWERED || end.status() != 200) {
                fail(reading);
                return;
            }
            try {
                FinalState state = RecordCodec.ended(end.body().path("v"));
                JobStatus status = new JobStatus(reading.id, state.state(), state.done(), 0);
                finalStates.remember(status);
                tell(reading, status, end.revision());
            } catch (MalformedMessageException e) {
                fail(reading);
            }
        });
    }

    private void tell(Reading reading, JobStatus status, long revision) {
        sent.remove(reading.id);
        ReadFreshness.Source source = status != null && status.state().isFinal()
                ? ReadFreshness.Source.FINAL_STATE
                : ReadFreshness.Source.READING;
        JobLookupResult finding =
                new JobLookupResult(reading.id, status, new ReadFreshness(source, revision, reading.sentAt));
        reading.askers.forEach(asker -> asker.found().accept(finding));
        if (finding.isFinal()) {
            reading.late.forEach(asker -> asker.found().accept(finding));
        } else {
            reading.late.forEach(asker -> ask(reading.id, false, asker));
        }
    }

    private void fail(Reading reading) {
        sent.remove(reading.id);
        reading.askers.forEach(asker -> asker.failed().run());
        reading.late.forEach(asker -> asker.failed().run());
    }

    /** A record that cannot be read still says that the job was accepted; its users must not be left without answer. */
    private JobStatus recorded(String id, JsonNode value) {
        try {
            JobRecord job = (JobRecord) RecordCodec.decode(StoreKeys.job(id), value);
            // Its user is told of the cancellation before the watch has brought it.
            cancellationEnforcer.merge(job, loop.now());
            return job.status();
        } catch (MalformedMessageException e) {
            LOG.error("the record of {} is not of our form: {}", id, e.getMessage());
            return new JobStatus(id, value.hasNonNull("cancelled") ? JobState.CANCELLED : JobState.PENDING, 0, 0);
        }
    }
}
