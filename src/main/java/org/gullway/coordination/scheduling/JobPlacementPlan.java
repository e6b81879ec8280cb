package org.gullway.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.BestFit;
import org.gullway.coordination.placement.InfeasibleRequests;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;

/** Plans placements for the tasks of one job, one task per call, and records them in the transaction at the end. */
final class JobPlacementPlan {
    private final JobRecord job;
    private final PassContext context;
    private final TeamQuotas quotas;
    private final BestFit bestFit;
    private final List<MachineRecord> planned = new ArrayList<>();
    private int remainingTasks;

    /** The state that the plans of all jobs share during one pass over the waiting jobs. */
    record PassContext(
            Transaction transaction, Collection<MachineRecord> machines, InfeasibleRequests infeasibleRequests) {}

    JobPlacementPlan(JobRecord job, PassContext context, TeamQuotas quotas, BestFit bestFit, int maxTasks) {
        this.job = job;
        this.context = context;
        this.quotas = quotas;
        this.bestFit = bestFit;
        this.remainingTasks = Math.min(
                maxTasks, Math.min(job.waitingTasks(), context.transaction().placeableTasks(job)));
    }

    /**
     * Plans one more task.
     *
     * @return false if no task remains, the quota or the transaction does not allow another one, or none fits
     */
    boolean planOneTask() {
        Transaction transaction = context.transaction();
        if (remainingTasks == 0
                || (planned.isEmpty() ? transaction.placeableTasks(job) == 0 : !transaction.hasRoomForPlacement(job))
                || quotas.remainingTasks(job, transaction) == 0) {
            return false;
        }
        List<MachineRecord> reserved = reserveForOneTask();
        if (reserved.isEmpty()) {
            context.infeasibleRequests().add(job.request());
            return false;
        }
        if (planned.isEmpty()) {
            // Adds the job's record to the transaction now, so that there is capacity for it once all tasks are
            // planned.
            transaction.putJob(job);
        }
        planned.addAll(reserved);
        remainingTasks--;
        return true;
    }

    /** Adds the placements of all planned tasks to the transaction. Called once, after the last planned task. */
    void recordPlacements() {
        if (!planned.isEmpty()) {
            context.transaction().place(job, planned);
        }
    }

    private List<MachineRecord> reserveForOneTask() {
        if (!planned.isEmpty() && !PlacementConstraints.constrainsZones(job.request())) {
            // The machine that was chosen last remains the best fit until no further task fits on it.
            MachineRecord last = planned.get(planned.size() - 1);
            List<MachineRecord> reserved = bestFit.reserve(job, 1, List.of(last), context.transaction());
            if (!reserved.isEmpty()) {
                return reserved;
            }
        }
        return context.infeasibleRequests().isKnownInfeasible(job.request())
                ? List.of()
                : bestFit.reserve(job, planned, 1, context.machines(), context.transaction());
    }
}
