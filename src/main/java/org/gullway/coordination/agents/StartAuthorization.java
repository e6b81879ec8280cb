package org.gullway.coordination.agents;

import java.util.Optional;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;

/**
 * Decides immediately before sending whether a task may be started. Its placement must be on record, this controller
 * must command the machine in the batch's agent epoch, and the batch must have the current fencing token. The caller
 * checks whether this controller holds a valid lease.
 */
public final class StartAuthorization {
    private final ClusterState clusterState;
    private final Incarnation self;

    public StartAuthorization(ClusterState clusterState, Incarnation self) {
        this.clusterState = clusterState;
        this.self = self;
    }

    /** Returns why the start must not be sent, or empty if it may be sent. */
    public Optional<String> denialReason(CommandBatch batch, AgentCommand start) {
        MachineRecord machine = clusterState.machine(batch.machine());
        if (machine == null || !machine.hasBooted() || !self.equals(machine.controller())) {
            return Optional.of("the machine is not on record, has no agent yet, or is commanded by another controller");
        }
        if (!batch.agentEpoch().equals(machine.agentEpoch())) {
            return Optional.of("the batch's agent epoch differs from the one on record: " + machine.agentEpoch());
        }
        if (!batch.fencingToken().equals(clusterState.fencingToken())) {
            return Optional.of(
                    "the batch's fencing token differs from the current one: " + clusterState.fencingToken());
        }
        JobRecord job = clusterState.job(start.task().job());
        if (job == null) {
            return Optional.of("the job is not on record");
        }
        if (job.isCancelled()) {
            return Optional.of("the job is cancelled");
        }
        return hasPlacement(job, batch, start)
                ? Optional.empty()
                : Optional.of("the job record has no placement of this attempt on this machine in this agent epoch, "
                        + "or the placement is being stopped");
    }

    private static boolean hasPlacement(JobRecord job, CommandBatch batch, AgentCommand start) {
        Placement placement = job.placementOf(start.task().index(), start.attempt());
        return placement != null
                && placement.machine().equals(batch.machine())
                && placement.agentEpoch().equals(batch.agentEpoch())
                && !placement.stopping();
    }

    /** Returns the current revision of the record of the command's job. */
    public Count revision(AgentCommand command) {
        return clusterState.version(StoreKeys.job(command.task().job()));
    }
}
