package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.Priority;

/**
 * Idle work takes what is left over: it starts only on room that nobody else waits for, and not on the room kept for
 * urgent work; and it makes way for best-effort work of a higher rank (dong-xanh-ops visitors: tasks of 300 s of a guest
 * team held the machines that settlements within their guarantee waited for).
 */
public final class ScavengerScheduler implements PlanningStep {
    private static final Duration EVERY = Duration.ofSeconds(1);
    /** Work that has only just come mostly finds its place by itself. */
    private static final Duration JUST_COME = Duration.ofSeconds(2);

    private static final int MOST_LOOKED_AT = 256;
    private static final int MOST_JOBS = 8;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final TeamQuotas quotas;
    private final JobBackoff backoff;
    private final DeadlinePolicy deadlines;
    private final double spareShare;
    private Instant proposedAt = Instant.MIN;
    private int lookFrom;

    /** @param spareShare room kept for urgent work, as a share of what that uses at present */
    public ScavengerScheduler(
            ClusterState clusterState,
            PlacementConstraints constraints,
            TeamQuotas quotas,
            JobBackoff backoff,
            DeadlinePolicy deadlines,
            double spareShare) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.quotas = quotas;
        this.backoff = backoff;
        this.deadlines = deadlines;
        this.spareShare = spareShare;
    }

    static boolean isScavenger(JobRecord job) {
        return job.request().priority() == Priority.IDLE;
    }

    /** Best-effort jobs of a higher rank that wait although their shares would let them run, the oldest first. */
    private List<JobRecord> waitingBefore(Transaction transaction, Instant now) {
        List<JobRecord> waiting = new ArrayList<>();
        for (JobRecord known : clusterState.jobs()) {
            JobRecord job = transaction.job(known.request().id());
            if (job != null
                    && !job.isReserved()
                    && !isScavenger(job)
                    && job.waitingTasks() > 0
                    && !backoff.isBackedOff(job, now)
                    && job.submittedAt().plus(JUST_COME).isBefore(transaction.timeOfDay())
                    && quotas.remainingTasks(job, transaction) > 0) {
                waiting.add(job);
            }
        }
        waiting.sort(Comparator.comparing(JobRecord::submittedAt)
                .thenComparing(job -> job.request().id()));
        return waiting;
    }

    /** Processors that idle work may take now. */
    double availableCpus(Transaction transaction, Instant now) {
        if (!waitingBefore(transaction, now).isEmpty()) {
            return 0;
        }
        double urgent = 0;
        for (var team : quotas.teams()) {
            urgent += clusterState.quotaUsage(StoreKeys.LEADER_QUOTA, team.name()).cpus;
        }
        double free = 0;
        for (MachineRecord machine : clusterState.machines()) {
            free += machine.isSchedulable() ? constraints.freeCpus(machine, transaction) : 0;
        }
        return Math.max(0, free - spareShare * urgent);
    }

    /** The leader's part: stops idle tasks for what waits before them, so many as that could use. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        if (proposedAt.plus(EVERY).isAfter(now)
                || clusterState.jobs().stream()
                        .noneMatch(
                                job -> isScavenger(job) && !job.livePlacements().isEmpty())) {
            return;
        }
        proposedAt = now;
        List<JobRecord> waiting = waitingBefore(transaction, now);
        if (waiting.isEmpty()) {
            return;
        }
        List<MachineRecord> machines = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.isSchedulable()
                    && clusterState.isMember(machine.controller())
                    && !clusterState.cordonedMachines().contains(machine.name())) {
                machines.add(machine);
            }
        }
        List<MachineRecord> looked = new ArrayList<>();
        for (int i = 0; i < Math.min(MOST_LOOKED_AT, machines.size()); i++) {
            looked.add(machines.get((lookFrom + i) % machines.size()));
        }
        lookFrom = machines.isEmpty() ? 0 : (lookFrom + MOST_LOOKED_AT) % machines.size();
        PreemptionPlanner preemption = new PreemptionPlanner(clusterState, constraints, deadlines, transaction, looked);
        waiting.stream()
                .limit(MOST_JOBS)
                .forEach(job -> preemption.preemptFor(
                        job,
                        Math.min(job.waitingTasks(), quotas.remainingTasks(job, transaction)),
                        looked,
                        ScavengerScheduler::isScavenger));
    }
}
