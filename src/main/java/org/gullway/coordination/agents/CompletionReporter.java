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
import org.gullway.protocol.AttemptCompletion;
import org.gullway.protocol.TaskStatus;

/** Sees which attempts have certainly ended on the machines commanded here, and tells the keepers of their jobs. */
final class CompletionReporter {
    private static final Duration TELL_AGAIN = Duration.ofMillis(1500);
    /** After that the end is recorded here: the keeper may be out of reach, or change again and again. */
    private static final Duration TOLD_IN_VAIN = Duration.ofSeconds(4);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final CompletionBuffer completionBuffer;
    private final Map<String, List<AttemptCompletion>> notices = new TreeMap<>();

    CompletionReporter(ClusterState clusterState, Incarnation self, CompletionBuffer completionBuffer) {
        this.clusterState = clusterState;
        this.self = self;
        this.completionBuffer = completionBuffer;
    }

    /** Notes attempts that have certainly ended: the keeper of each job records them. */
    void observe(MachineRecord record, AgentState agent, Instant now) {
        boolean fenced = agent.isFenced(record);
        clusterState.placementsOn(record.name()).forEach((id, placement) -> {
            if (placement.agentEpoch() != record.agentEpoch()) {
                return;
            }
            JobRecord job = clusterState.job(id.task().job());
            TaskStatus task = agent.tasks().get(id);
            if (task == null) {
                if (fenced && !agent.hasCommandInFlight() && (placement.stopping() || job.isCancelled())) {
                    report(job, id, AttemptOutcome.STOPPED, agent, now);
                }
            } else if (task.isEnded() && task.cause() == TaskStatus.Cause.DONE) {
                agent.onTaskSucceeded();
                report(job, id, AttemptOutcome.DONE, agent, now);
            } else if (task.isEnded() && fenced) {
                boolean failed =
                        switch (task.cause()) {
                            case ERROR, UNKNOWN_JOB, OTHER -> true;
                            default -> false;
                        };
                if (failed) {
                    agent.onTaskFailed(job.request().id(), now);
                }
                report(job, id, failed ? AttemptOutcome.FAILED : AttemptOutcome.STOPPED, agent, now);
            }
        });
    }

    private void report(JobRecord job, AttemptId id, AttemptOutcome end, AgentState agent, Instant now) {
        agent.wakeAt(now.plus(TELL_AGAIN));
        Incarnation leader = clusterState.leader();
        String keeper = job.isReserved() ? leader == null ? null : leader.node() : job.owner();
        if (self.node().equals(keeper) || agent.isReportedBefore(id, now.minus(TOLD_IN_VAIN))) {
            completionBuffer.add(id, end, now);
        }
        if (keeper != null && !self.node().equals(keeper) && agent.shouldReport(id, now, TELL_AGAIN)) {
            notices.computeIfAbsent(keeper, k -> new ArrayList<>())
                    .add(new AttemptCompletion(id.task(), id.attempt(), (byte) end.ordinal()));
        }
    }

    /** Ends to be told to the keepers of their jobs, by node; each batch is asked for once. */
    Map<String, List<AttemptCompletion>> drainCompletions() {
        Map<String, List<AttemptCompletion>> drained = new TreeMap<>(notices);
        notices.clear();
        return drained;
    }

    /** Ends that the controller of a machine has seen. */
    void onCompletions(Collection<AttemptCompletion> ends, Instant now) {
        for (AttemptCompletion notice : ends) {
            if (notice.outcome() >= 0 && notice.outcome() < AttemptOutcome.values().length) {
                completionBuffer.add(
                        new AttemptId(notice.task(), notice.attempt()), AttemptOutcome.values()[notice.outcome()], now);
            }
        }
    }
}
