package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.protocol.JobRequest;

/** The zones of a job's tasks, and the zones that its next task may go to. */
final class TaskZones {
    /** Stands for the zone of a machine that is no longer known. */
    private static final String UNKNOWN_ZONE = "";

    private final JobRequest request;
    private final boolean constrained;
    /** One entry for each task; stays empty if the request does not constrain zones. */
    private final List<String> zones = new ArrayList<>();

    /** Starts with the zones of the tasks that are on record. */
    TaskZones(JobRecord job, ClusterState clusterState) {
        this.request = job.request();
        this.constrained = PlacementConstraints.constrainsZones(request);
        if (constrained) {
            for (Placement placement : job.livePlacements()) {
                MachineRecord machine = clusterState.machine(placement.machine());
                zones.add(machine == null ? UNKNOWN_ZONE : machine.zone());
            }
        }
    }

    /** Counts one more task, on this machine. */
    void add(MachineRecord machine) {
        if (constrained) {
            zones.add(machine.zone());
        }
    }

    /** Whether one more task may go to this zone. */
    boolean allow(String zone) {
        if (!constrained) {
            return true;
        }
        int tasksInZone = 0;
        for (String taskZone : zones) {
            if (zone.equals(taskZone)) {
                tasksInZone++;
            }
        }
        return (!request.singleZone() || tasksInZone == zones.size())
                && (!request.spreadAcrossZones() || tasksInZone + 1 <= maxTasksPerZone());
    }

    /** Half of the job's tasks, rounded up. */
    private int maxTasksPerZone() {
        return (request.tasks() + 1) / 2;
    }
}
