package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.gullway.bookkeeping.RecordCodec;
import org.gullway.bookkeeping.StateStore;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.Draft;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.protocol.MalformedException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the states of jobs from the state service, where the view cannot tell them. */
final class JobLookUps {
    private static final Logger LOG = LoggerFactory.getLogger(JobLookUps.class);

    private final EventLoop loop;
    private final StateStore store;
    private final FinalStates finals;
    private final CancelledTasks cancelled;

    JobLookUps(EventLoop loop, StateStore store, FinalStates finals, CancelledTasks cancelled) {
        this.loop = loop;
        this.store = store;
        this.finals = finals;
        this.cancelled = cancelled;
    }

    /** Reads a job's state from the store; null if there is no such job. A job only ever moves from live to ended. */
    void lookUp(String id, Consumer<JobStatus> found, Runnable failed) {
        store.get(Keys.job(id), live -> {
            if (live.kind() != Reply.Kind.ANSWERED || live.status() != 200 && live.status() != 404) {
                failed.run();
            } else if (live.status() == 200) {
                found.accept(recorded(id, live.body().path("v")));
            } else {
                readEnded(id, found, failed);
            }
        });
    }

    private void readEnded(String id, Consumer<JobStatus> found, Runnable failed) {
        store.get(Keys.ended(id), end -> {
            if (end.kind() == Reply.Kind.ANSWERED && end.status() == 404) {
                found.accept(null);
                return;
            }
            if (end.kind() != Reply.Kind.ANSWERED || end.status() != 200) {
                failed.run();
                return;
            }
            try {
                Draft.Ended state = RecordCodec.ended(end.body().path("v"));
                JobStatus status = new JobStatus(id, state.state(), state.done(), 0);
                finals.remember(status);
                found.accept(status);
            } catch (MalformedException e) {
                failed.run();
            }
        });
    }

    /** A record that cannot be read still says that the job was accepted; its users must not be left without answer. */
    private JobStatus recorded(String id, JsonNode value) {
        try {
            JobRecord job = (JobRecord) RecordCodec.decode(Keys.job(id), value);
            // Its user is told of the cancellation before the watch has brought it.
            cancelled.learn(job, loop.now());
            return job.status();
        } catch (MalformedException e) {
            LOG.error("the record of {} is not of our form: {}", id, e.getMessage());
            return new JobStatus(id, value.hasNonNull("cancelled") ? JobState.CANCELLED : JobState.PENDING, 0, 0);
        }
    }
}
