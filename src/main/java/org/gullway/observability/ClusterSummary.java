package org.gullway.observability;

import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;

/** Key figures of the cluster for the metrics log line, taken from one controller's copy of the cluster state. */
public record ClusterSummary(
        Role role,
        FencingToken fencingToken,
        int jobs,
        int waitingTasks,
        int machines,
        int schedulableMachines,
        int cordonedMachines) {
    /** The role of a controller: the leader, any other member, or a controller that holds no valid membership lease. */
    public enum Role {
        LEADER("leader"),
        MEMBER("member"),
        NO_VALID_LEASE("no_valid_lease");

        private final String logName;

        Role(String logName) {
            this.logName = logName;
        }

        @Override
        public String toString() {
            return logName;
        }
    }

    /** Summarizes the copy of the cluster state of a controller that has the given role. */
    public static ClusterSummary of(ClusterState clusterState, Role role) {
        int waitingTasks = 0;
        for (JobRecord job : clusterState.jobs()) {
            waitingTasks += job.waitingTasks();
        }
        int schedulableMachines = 0;
        for (MachineRecord machine : clusterState.machines()) {
            schedulableMachines += machine.isSchedulable() ? 1 : 0;
        }
        return new ClusterSummary(
                role,
                new FencingToken(clusterState.fencingToken()),
                clusterState.jobs().size(),
                waitingTasks,
                clusterState.machines().size(),
                schedulableMachines,
                clusterState.cordonedMachines().size());
    }

    String toLogPairs() {
        return "role=" + role
                + " fencing_token=" + fencingToken.value()
                + " jobs=" + jobs
                + " waiting_tasks=" + waitingTasks
                + " machines=" + machines
                + " schedulable_machines=" + schedulableMachines
                + " cordoned_machines=" + cordonedMachines;
    }
}
