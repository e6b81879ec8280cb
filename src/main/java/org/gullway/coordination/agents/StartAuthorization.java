package org.gullway.coordination.agents;

import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.AgentCommand;

/**
 * Decides at the moment of sending whether a task may be started: its placement is on record, the machine is this
 * controller's in that session, and the token is the present epoch. Whether the controller is entitled to act at all is
 * the caller's to check.
 */
public final class StartAuthorization {
    private final ClusterState clusterState;
    private final Incarnation self;

    public StartAuthorization(ClusterState clusterState, Incarnation self) {
        this.clusterState = clusterState;
        this.self = self;
    }

    /** Why the start must not be sent; null if it may be. */
    public String denialReason(CommandBatch batch, AgentCommand start) {
        MachineRecord machine = clusterState.machine(batch.machine());
        if (machine == null || !machine.isUp() || !self.equals(machine.controller())) {
            return "the machine is not commanded here";
        }
        if (batch.agentEpoch() != machine.agentEpoch()) {
            return "the machine is in session " + machine.agentEpoch();
        }
        if (batch.fencingToken() != clusterState.fencingToken()) {
            return "the epoch is " + clusterState.fencingToken();
        }
        JobRecord job = clusterState.job(start.task().job());
        if (job == null || job.isCancelled()) {
            return job == null ? "the job is not on record" : "the job is cancelled";
        }
        Placement placement = job.placementOf(start.task().index(), start.attempt());
        if (placement == null
                || !placement.machine().equals(batch.machine())
                || placement.agentEpoch() != batch.agentEpoch()
                || placement.stopping()) {
            return "the record has no such placement";
        }
        return null;
    }

    /** Revision of the record that allows the start. */
    public long revision(AgentCommand start) {
        return clusterState.version(StoreKeys.job(start.task().job()));
    }
}
