package org.gullway.coordination.agents;

import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Declares a machine lost if a task of a cancelled job may still run on it when the job's cancellation limit has
 * nearly expired. The limit runs from the cancellation. It is not extended by a change of the leader, by a change of
 * the controller that commands the machine, or by a restart of failure detection.
 */
final class OverdueCancellationPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(OverdueCancellationPlanner.class);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final AgentRegistry agents;
    private final CancellationEnforcer cancellationEnforcer;

    OverdueCancellationPlanner(
            ClusterState clusterState,
            Incarnation self,
            AgentRegistry agents,
            CancellationEnforcer cancellationEnforcer) {
        this.clusterState = clusterState;
        this.self = self;
        this.agents = agents;
        this.cancellationEnforcer = cancellationEnforcer;
    }

    void plan(Transaction transaction) {
        for (JobRecord job : clusterState.jobs()) {
            if (cancellationEnforcer.isOverdue(job, transaction.wallClockTime())) {
                for (Placement placement : job.livePlacements()) {
                    declareLostUnlessConfirmedEnded(transaction, job, placement);
                }
            }
        }
    }

    private void declareLostUnlessConfirmedEnded(Transaction transaction, JobRecord job, Placement placement) {
        MachineRecord record = transaction.machine(placement.machine());
        if (record != null
                && self.equals(record.controller())
                && record.agentEpoch().equals(placement.agentEpoch())
                && record.lifecycle() != MachineLifecycle.LOST
                && transaction.canPutMachine(record.name())
                && !isConfirmedEnded(record, AttemptId.of(job, placement))) {
            LOG.info(
                    "machine declared lost: overdue cancelled task may still run machine={} job={} task={} attempt={}",
                    record.name(),
                    job.request().id(),
                    AttemptId.of(job, placement).task(),
                    placement.attempt());
            transaction.putMachine(record.withLifecycle(MachineLifecycle.LOST));
        }
    }

    /**
     * Returns whether the attempt has ended or is unknown to its agent, and no command that may still arrive can start
     * it.
     */
    private boolean isConfirmedEnded(MachineRecord record, AttemptId id) {
        AgentState agent = agents.find(record.name());
        if (!agents.isAssignedInRecordedEpoch(record, agent)
                || !agent.hasConfirmedFencingToken(record)
                || agent.commands().isInFlight()) {
            return false;
        }
        TaskStatus task = agent.tasks().get(id);
        return task == null || task.isEnded();
    }
}
