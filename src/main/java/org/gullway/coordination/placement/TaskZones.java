package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.protocol.JobRequest;

/** Tracks the zones of a job's tasks and checks the job's zone constraints for the next task. */
final class TaskZones {
    /**
     * Placeholder for the zone of a machine that is no longer in the cluster state. It equals no real zone, so a job
     * that must run in a single zone gets no further task while such a placement is live.
     */
    private static final String UNKNOWN_ZONE = "";

    private final JobRequest request;
    private final boolean constrained;
    /** One entry per task, or empty if the request has no zone constraints. */
    private final List<String> zones = new ArrayList<>();

    /** Starts with the zones of the job's recorded live placements. */
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

    /** Adds a task on the given machine. */
    void add(MachineRecord machine) {
        if (constrained) {
            zones.add(machine.zone());
        }
    }

    /** Returns whether the zone constraints allow one more task in the given zone. */
    boolean allows(String zone) {
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

    /** Returns the limit for a job that is spread across zones: half of its tasks, rounded up. */
    private int maxTasksPerZone() {
        return (request.tasks() + 1) / 2;
    }
}
