package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.JobRecord.AttemptOutcome;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.protocol.AttemptCompletion;
import org.gullway.protocol.TaskStatus;

/**
 * Observes which attempts have certainly ended on the machines that this controller commands, and reports them to the
 * controllers that write the records of their jobs.
 */
final class CompletionReporter {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(1500);
    /**
     * If a completion is not on record this long after its first report, this controller records it itself: the record
     * writer may be unreachable, or may change repeatedly.
     */
    private static final Duration WRITER_TIMEOUT = Duration.ofSeconds(4);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final CompletionBuffer completionBuffer;
    private final Map<String, List<AttemptCompletion>> pendingByWriter = new TreeMap<>();

    CompletionReporter(ClusterState clusterState, Incarnation self, CompletionBuffer completionBuffer) {
        this.clusterState = clusterState;
        this.self = self;
        this.completionBuffer = completionBuffer;
    }

    /** Reports the attempts on the machine that have certainly ended. */
    void observe(MachineRecord record, AgentState agent, Instant now) {
        boolean tokenConfirmed = agent.hasConfirmedFencingToken(record);
        clusterState.placementsOn(record.name()).forEach((id, placement) -> {
            if (placement.agentEpoch().equals(record.agentEpoch())) {
                observe(id, placement, agent, tokenConfirmed, now);
            }
        });
    }

    private void observe(AttemptId id, Placement placement, AgentState agent, boolean tokenConfirmed, Instant now) {
        JobRecord job = clusterState.job(id.task().job());
        TaskStatus task = agent.tasks().get(id);
        if (task == null) {
            boolean stopped = placement.stopping() || job.isCancelled();
            if (tokenConfirmed && !agent.commands().isInFlight() && stopped) {
                report(job, id, AttemptOutcome.STOPPED, agent, now);
            }
        } else if (task.isEnded() && task.cause() == TaskStatus.Cause.DONE) {
            agent.failures().onSucceeded();
            report(job, id, AttemptOutcome.DONE, agent, now);
        } else if (task.isEnded() && tokenConfirmed) {
            AttemptOutcome outcome = outcomeOf(task.cause());
            if (outcome == AttemptOutcome.FAILED) {
                agent.failures().onFailed(job.request().id(), now);
            }
            report(job, id, outcome, agent, now);
        }
    }

    private static AttemptOutcome outcomeOf(TaskStatus.Cause cause) {
        return switch (cause) {
            case ERROR, UNKNOWN_JOB, OTHER -> AttemptOutcome.FAILED;
            case DONE -> AttemptOutcome.DONE;
            case STOPPED, NO_ROOM, BUSY -> AttemptOutcome.STOPPED;
        };
    }

    private void report(JobRecord job, AttemptId id, AttemptOutcome outcome, AgentState agent, Instant now) {
        agent.wakeAt(now.plus(RETRY_INTERVAL));
        String writer = recordWriter(job);
        boolean writesHere = self.node().equals(writer);
        if (writesHere || agent.completionReports().isReportedBefore(id, now.minus(WRITER_TIMEOUT))) {
            completionBuffer.add(id, outcome, now);
        }
        if (writer != null && !writesHere && agent.completionReports().tryReport(id, now, RETRY_INTERVAL)) {
            pendingByWriter
                    .computeIfAbsent(writer, w -> new ArrayList<>())
                    .add(new AttemptCompletion(id.task(), id.attempt(), OutcomeCode.of(outcome)));
        }
    }

    /** Returns the controller that writes the job's record, or null for a reserved job while there is no leader. */
    private String recordWriter(JobRecord job) {
        if (!job.isReserved()) {
            return job.owner();
        }
        Incarnation leader = clusterState.leader();
        return leader == null ? null : leader.node();
    }

    /**
     * Returns the queued completions, grouped by the controller that writes the record of their job, and clears the
     * queue.
     */
    Map<String, List<AttemptCompletion>> drainCompletions() {
        Map<String, List<AttemptCompletion>> drained = new TreeMap<>(pendingByWriter);
        pendingByWriter.clear();
        return drained;
    }

    /** Handles completions that another controller has observed. Outcomes unknown to this version are ignored. */
    void onCompletions(Collection<AttemptCompletion> completions, Instant now) {
        for (AttemptCompletion completion : completions) {
            AttemptId id = new AttemptId(completion.task(), completion.attempt());
            OutcomeCode.toOutcome(completion.outcome()).ifPresent(outcome -> completionBuffer.add(id, outcome, now));
        }
    }
}
