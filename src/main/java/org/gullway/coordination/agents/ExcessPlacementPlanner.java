package org.gullway.coordination.agents;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.MessageLimits;
import org.gullway.protocol.TaskStatus;

/**
 * Marks placements as stopping that were never started and for which the agent's heartbeat has no room, so that their
 * tasks wait again and are placed elsewhere. Placements have no condition on their machine: the leader and the owners
 * of best-effort jobs may together place more attempts on a machine than fit. Attempts that run are left alone.
 */
final class ExcessPlacementPlanner {
    private final ClusterState clusterState;

    ExcessPlacementPlanner(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    void plan(Transaction transaction, MachineRecord record, AgentState agent) {
        if (!agent.listedAttempts().hasHeldBackStarts() || !agent.hasConfirmedFencingToken(record)) {
            return;
        }
        Map<String, Set<Placement>> excess = excessPlacements(record, agent);
        excess.forEach((id, placements) -> {
            JobRecord job = transaction.job(id);
            if (job != null && transaction.canPutJob(id)) {
                transaction.putJob(job.withStopping(placements::contains));
            }
        });
    }

    /** Returns the placements by job that the agent does not list and that exceed what its heartbeat can list. */
    private Map<String, Set<Placement>> excessPlacements(MachineRecord record, AgentState agent) {
        int needed = 0;
        List<Map.Entry<AttemptId, Placement>> notListed = new ArrayList<>();
        for (Map.Entry<AttemptId, Placement> entry :
                clusterState.placementsOn(record.name()).entrySet()) {
            TaskStatus task = agent.tasks().get(entry.getKey());
            boolean stops = entry.getValue().stopping() || isCancelled(entry.getKey());
            if (task == null && !stops) {
                notListed.add(entry);
            }
            // The completion of an attempt that has ended is recorded soon, and then the agent forgets the attempt.
            needed += (task == null && stops) || (task != null && task.isEnded()) ? 0 : 1;
        }
        int excess = Math.min(needed - MessageLimits.MAX_LISTED_ATTEMPTS, notListed.size());
        Map<String, Set<Placement>> byJob = new HashMap<>();
        for (int i = 0; i < excess; i++) {
            Map.Entry<AttemptId, Placement> entry = notListed.get(i);
            byJob.computeIfAbsent(entry.getKey().task().job(), id -> new HashSet<>())
                    .add(entry.getValue());
        }
        return byJob;
    }

    private boolean isCancelled(AttemptId id) {
        return clusterState.job(id.task().job()).isCancelled();
    }
}
