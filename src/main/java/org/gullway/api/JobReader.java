package org.gullway.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.function.Consumer;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.api.JobLookupResult.NotFound;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.storage.RecordCodec;
import org.gullway.storage.StateStoreClient;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the state of one job from the state store by key: first its live record and, if there is none, its final state.
 * When a job ends, its final state replaces its live record, and never the other way round. If both reads, in this
 * order, find nothing, the job did not exist at the time of the first read.
 */
final class JobReader {
    private static final Logger LOG = LoggerFactory.getLogger(JobReader.class);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final TokenBucket rateLimit;
    private final FinalStateCache finalStates;
    private final CancellationEnforcer cancellationEnforcer;

    /**
     * A read in progress.
     *
     * @param sentAt when the first request of this read was sent to the state store
     */
    private record Read(String id, Instant sentAt, Consumer<JobLookupResult> onResult, Runnable onFailure) {}

    /** @param rateLimit each request consumes one token, even if none is available */
    JobReader(
            EventLoop loop,
            StateStoreClient store,
            TokenBucket rateLimit,
            FinalStateCache finalStates,
            CancellationEnforcer cancellationEnforcer) {
        this.loop = loop;
        this.store = store;
        this.rateLimit = rateLimit;
        this.finalStates = finalStates;
        this.cancellationEnforcer = cancellationEnforcer;
    }

    /** Reads a job that may be live, ended or unknown. */
    void read(String id, Consumer<JobLookupResult> onResult, Runnable onFailure) {
        readLiveRecord(new Read(id, loop.now(), onResult, onFailure));
    }

    /**
     * Reads the final state of a job that is known to have ended, without a read of its live record. The result is
     * {@link NotFound} if there is no final state.
     */
    void readEnded(String id, Consumer<JobLookupResult> onResult, Runnable onFailure) {
        readFinalState(new Read(id, loop.now(), onResult, onFailure));
    }

    private void readLiveRecord(Read read) {
        rateLimit.consume(1);
        store.get(StoreKeys.job(read.id()), outcome -> {
            if (outcome.isOkWithBody()) {
                JobStatus status = statusOfRecord(read.id(), outcome.body().path("v"));
                read.onResult().accept(found(read, status, outcome.revision()));
            } else if (outcome.isNotFound()) {
                readFinalState(read);
            } else {
                read.onFailure().run();
            }
        });
    }

    private void readFinalState(Read read) {
        rateLimit.consume(1);
        store.get(StoreKeys.finalState(read.id()), outcome -> {
            if (outcome.isOkWithBody()) {
                completeWithFinalState(read, outcome);
            } else if (outcome.isNotFound()) {
                read.onResult().accept(new NotFound(read.id(), freshness(read, outcome.revision())));
            } else {
                read.onFailure().run();
            }
        });
    }

    private void completeWithFinalState(Read read, StateStoreClient.Outcome outcome) {
        FinalState finalState;
        try {
            finalState = RecordCodec.decodeFinalState(outcome.body().path("v"));
        } catch (MalformedMessageException e) {
            read.onFailure().run();
            return;
        }
        JobStatus status = new JobStatus(read.id(), finalState.state(), finalState.done(), 0);
        finalStates.put(status);
        read.onResult().accept(found(read, status, outcome.revision()));
    }

    /**
     * Returns the status in a live record. A record that cannot be decoded still proves that the job was accepted, and
     * its user needs a response, so its status is derived from the presence of the {@code cancelled} field alone.
     */
    private JobStatus statusOfRecord(String id, JsonNode value) {
        try {
            JobRecord job = (JobRecord) RecordCodec.decode(StoreKeys.job(id), value);
            // The response may tell the user of a cancellation that the watch has not delivered to this controller yet,
            // so the cancellation enforcer has to know it before the response is sent.
            cancellationEnforcer.add(job, loop.now());
            return job.status();
        } catch (MalformedMessageException e) {
            LOG.error(
                    "could not decode a job record; reporting a derived state job={} error=\"{}\"", id, e.getMessage());
            JobState state = value.hasNonNull("cancelled") ? JobState.CANCELLED : JobState.PENDING;
            return new JobStatus(id, state, 0, 0);
        }
    }

    private static Found found(Read read, JobStatus status, Count revision) {
        if (status.state().isFinal()) {
            return new Found(status, new StateFreshness(StateFreshness.Source.FINAL_STATE, revision, read.sentAt()));
        }
        return new Found(status, freshness(read, revision));
    }

    private static StateFreshness freshness(Read read, Count revision) {
        return new StateFreshness(StateFreshness.Source.READ, revision, read.sentAt());
    }
}
