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

/** Plans the tasks of one job, one at a time. */
final class PlacementAttempt {
    private final JobRecord job;
    private final Pass pass;
    private final TeamQuotas quotas;
    private final BestFit bestFit;
    private final List<MachineRecord> planned = new ArrayList<>();
    private int remainingTasks;

    /** What the attempts of all jobs share during one pass over the waiting jobs. */
    record Pass(Transaction transaction, Collection<MachineRecord> machines, InfeasibleRequests infeasibleRequests) {}

    PlacementAttempt(JobRecord job, Pass pass, TeamQuotas quotas, BestFit bestFit, int maxTasks) {
        this.job = job;
        this.pass = pass;
        this.quotas = quotas;
        this.bestFit = bestFit;
        this.remainingTasks = Math.min(
                maxTasks, Math.min(job.waitingTasks(), pass.transaction().placeableTasks(job)));
    }

    /** Plans one more task; false if no more are due, allowed by the quota, or fit. */
    boolean placeOne() {
        Transaction transaction = pass.transaction();
        if (remainingTasks == 0
                || (planned.isEmpty() && transaction.placeableTasks(job) == 0)
                || quotas.remainingTasks(job, transaction) == 0) {
            return false;
        }
        List<MachineRecord> reserved = reserveOne();
        if (reserved.isEmpty()) {
            pass.infeasibleRequests().add(job.request());
            return false;
        }
        if (planned.isEmpty()) {
            // Counts the job's record in the transaction now, so that it has capacity for what is planned.
            transaction.putJob(job);
        }
        planned.addAll(reserved);
        remainingTasks--;
        return true;
    }

    /** Adds the placements of all planned tasks to the transaction, once no more of them follow. */
    void recordPlacements() {
        if (!planned.isEmpty()) {
            pass.transaction().place(job, planned);
        }
    }

    private List<MachineRecord> reserveOne() {
        if (!planned.isEmpty() && !PlacementConstraints.constrainsZones(job.request())) {
            // The machine chosen last is the best until nothing more fits there.
            MachineRecord last = planned.get(planned.size() - 1);
            List<MachineRecord> reserved = bestFit.reserve(job, 1, List.of(last), pass.transaction());
            if (!reserved.isEmpty()) {
                return reserved;
            }
        }
        return pass.infeasibleRequests().isKnownInfeasible(job.request())
                ? List.of()
                : bestFit.reserve(job, planned, 1, pass.machines(), pass.transaction());
    }
}
