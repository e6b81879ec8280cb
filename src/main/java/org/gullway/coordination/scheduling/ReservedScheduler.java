package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.BestFit;
import org.gullway.coordination.placement.InfeasibleRequests;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.GuaranteedQuota;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/**
 * The leader's booking of reserved-class tasks: each on the fullest machine that fits. While some wait, machines are
 * closed to new best-effort starts until their room would do.
 */
public final class ReservedScheduler implements PlanningStep {
    /** In a large fleet, making room looks at thousands of tasks, so it is done at intervals. */
    private static final Duration ROOM_PAUSE = Duration.ofMillis(500);

    /** In a large fleet the marks change all the time, and each change costs one of few that the store allows. */
    private static final Duration CLOSE_PAUSE = Duration.ofSeconds(2);

    private static final int MOST_GATHERING = 3;
    private static final int MOST_LOOKED_AT = 256;
    /** Once so many jobs found no room, those after them have to wait for machines. */
    private static final int MOST_STUCK = 8;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final TeamQuotas quotas;
    private final BestFit bestFit;
    private final JobBackoff backoff;
    private final DeadlinePolicy deadlines;
    private int lookFrom;
    private Instant closedAt = Instant.MIN;
    private Instant roomMadeAt = Instant.MIN;

    public ReservedScheduler(
            ClusterState clusterState,
            PlacementConstraints constraints,
            TeamQuotas quotas,
            JobBackoff backoff,
            DeadlinePolicy deadlines) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.quotas = quotas;
        this.bestFit = new BestFit(clusterState, constraints);
        this.backoff = backoff;
        this.deadlines = deadlines;
    }

    /**
     * Adds placements of waiting reserved jobs to the draft, the most urgent first, and closes machines to best-effort
     * starts while some of them find no room. Only the leader calls it.
     */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        List<JobRecord> waiting = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isReserved() && job.waitingTasks() > 0 && !backoff.isBackedOff(job, now)) {
                waiting.add(job);
            }
        }
        if (waiting.isEmpty()) {
            close(transaction, Set.of());
            return;
        }
        waiting.sort(order());
        List<MachineRecord> machines = new ArrayList<>();
        List<MachineRecord> withRoom = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.isSchedulable() && clusterState.isMember(machine.controller())) {
                machines.add(machine);
                if (constraints.freeCpus(machine, transaction) > 0) {
                    withRoom.add(machine);
                }
            }
        }
        List<JobRecord> unfitted = bookAll(transaction, waiting, withRoom);
        if (!unfitted.isEmpty()
                && machines.size() > MOST_LOOKED_AT
                && roomMadeAt.plus(ROOM_PAUSE).isAfter(now)) {
            return;
        }
        roomMadeAt = now;
        clearMachines(transaction, unfitted, machines);
    }

    /** Books what fits, and returns the jobs of which tasks found no room. */
    private List<JobRecord> bookAll(Transaction transaction, List<JobRecord> waiting, List<MachineRecord> withRoom) {
        List<JobRecord> unfitted = new ArrayList<>();
        InfeasibleRequests infeasibleRequests = new InfeasibleRequests();
        for (JobRecord job : waiting) {
            // Another part of this round may have cancelled the job or ended tasks of it already.
            JobRecord current = transaction.job(job.request().id());
            if (current == null) {
                continue;
            }
            boolean hopeless = infeasibleRequests.isKnownInfeasible(current.request())
                    && quotas.remainingTasks(current, transaction) > 0;
            if (hopeless || !book(transaction, current, withRoom)) {
                unfitted.add(transaction.job(job.request().id()));
                if (!current.isGang()) {
                    // Of a gang some tasks may fit; of any other job not one more did.
                    infeasibleRequests.add(current.request());
                }
            }
        }
        return unfitted;
    }

    /** Has best-effort tasks stopped for jobs without room, and closes machines for those that are still stuck then. */
    private void clearMachines(Transaction transaction, List<JobRecord> unfitted, List<MachineRecord> machines) {
        List<MachineRecord> looked = nextMachines(machines);
        PreemptionPlanner preemption = new PreemptionPlanner(clusterState, constraints, deadlines, transaction, looked);
        List<JobRecord> stuck = new ArrayList<>();
        for (JobRecord job : unfitted) {
            if (stuck.size() >= MOST_STUCK || !makeRoom(preemption, transaction, job, looked)) {
                stuck.add(job);
            }
        }
        if (!unfitted.isEmpty() && !mayChangeClosed(transaction)) {
            return;
        }
        Set<String> closed = new LinkedHashSet<>(preemption.targetMachines());
        clusterState.cordonedMachines().stream().filter(this::isClearing).forEach(closed::add);
        closed.addAll(machinesToClose(transaction, stuck, machines));
        close(transaction, closed);
    }

    /** Looking at every task of a large fleet would take seconds: each time goes on where the last one stopped. */
    private List<MachineRecord> nextMachines(List<MachineRecord> machines) {
        if (machines.size() <= MOST_LOOKED_AT) {
            return machines;
        }
        List<MachineRecord> looked = new ArrayList<>(MOST_LOOKED_AT);
        for (int i = 0; i < MOST_LOOKED_AT; i++) {
            looked.add(machines.get((lookFrom + i) % machines.size()));
        }
        lookFrom = (lookFrom + MOST_LOOKED_AT) % machines.size();
        return looked;
    }

    private boolean isClearing(String machine) {
        return clusterState.placementsOn(machine).values().stream().anyMatch(Placement::stopping);
    }

    /** Stops best-effort tasks of lower rank for all waiting tasks that the team's limit allows; false if not enough. */
    private boolean makeRoom(
            PreemptionPlanner preemption, Transaction transaction, JobRecord job, List<MachineRecord> machines) {
        int tasks = Math.min(job.waitingTasks(), quotas.remainingTasks(job, transaction));
        return preemption.preemptFor(
                job,
                tasks,
                machines,
                other -> !other.isReserved()
                        && other.request().priority().compareTo(job.request().priority()) > 0);
    }

    /** By rank, then jobs within their team's guarantee, then by age. */
    private Comparator<JobRecord> order() {
        GuaranteedQuota guaranteedQuota = GuaranteedQuota.of(clusterState, quotas);
        return Comparator.<JobRecord, Priority>comparing(j -> j.request().priority())
                .thenComparing(j -> guaranteedQuota.covers(j) ? 0 : 1)
                .thenComparing(JobRecord::submittedAt)
                .thenComparing(j -> j.request().id());
    }

    /** Books as many tasks as fit, a gang's all or none; false if some wait for room. */
    private boolean book(Transaction transaction, JobRecord job, List<MachineRecord> machines) {
        if (job.isGang() && !job.livePlacements().isEmpty()) {
            return true;
        }
        int allowed = Math.min(
                job.waitingTasks(), Math.min(quotas.remainingTasks(job, transaction), transaction.placeableTasks(job)));
        if (allowed == 0 || job.isGang() && allowed < job.waitingTasks()) {
            return true;
        }
        List<MachineRecord> taken = bestFit.reserve(job, allowed, machines, transaction);
        if (job.isGang() && taken.size() < allowed) {
            taken.forEach(machine -> transaction.unreserve(job, machine));
            return false;
        }
        if (!taken.isEmpty()) {
            transaction.place(job, taken);
            machines.removeIf(machine -> constraints.freeCpus(machine, transaction) <= 0);
        }
        return taken.size() == allowed;
    }

    /** The machines with most room that best-effort work could leave, enough for all that waits. */
    private Set<String> machinesToClose(
            Transaction transaction, List<JobRecord> unfitted, List<MachineRecord> machines) {
        Set<String> chosen = new LinkedHashSet<>();
        if (unfitted.isEmpty()) {
            return chosen;
        }
        List<MachineRecord> candidates = mostFreeFirst(transaction, machines);
        for (JobRecord job : unfitted) {
            JobRequest request = job.request();
            int tasks = job.waitingTasks();
            for (MachineRecord machine : candidates) {
                MachineType type = constraints.machineTypes().byName().get(machine.type());
                if (tasks <= 0 || chosen.size() >= CordonedMachines.MAX_MACHINES) {
                    break;
                }
                if (type == null
                        || !type.fits(request)
                        || !constraints.isAllowed(job, machine, clusterState)
                        || !chosen.add(machine.name())) {
                    continue;
                }
                tasks -= (int)
                        Math.min(type.cpus() / request.cpus(), type.memoryGb() / Math.max(1e-9, request.memoryGb()));
            }
        }
        return chosen;
    }

    private record FreeRoom(MachineRecord machine, double cpus) {
        private static final Comparator<FreeRoom> MOST_FIRST =
                Comparator.comparingDouble(FreeRoom::cpus).reversed().thenComparing(room -> room.machine.name());
    }

    private List<MachineRecord> mostFreeFirst(Transaction transaction, List<MachineRecord> machines) {
        List<FreeRoom> rooms = new ArrayList<>(machines.size());
        for (MachineRecord machine : machines) {
            rooms.add(new FreeRoom(machine, constraints.freeCpus(machine, transaction)));
        }
        rooms.sort(FreeRoom.MOST_FIRST);
        return rooms.stream().map(FreeRoom::machine).toList();
    }

    /**
     * Machines that are kept from best-effort starts until the largest task of a best-effort job of which none has run
     * for long fits there; its owner alone may use them. Small tasks would fill every gap before it for ever.
     */
    private Set<String> gathering(Transaction transaction) {
        List<JobRecord> stalled = clusterState.jobs().stream()
                .filter(job -> !job.isReserved() && job.isStalledAt(transaction.timeOfDay()))
                .sorted(JobRecord.STALLED_ORDER)
                .limit(MOST_GATHERING)
                .toList();
        Set<String> chosen = new LinkedHashSet<>();
        for (JobRecord job : stalled) {
            clusterState.machines().stream()
                    .filter(m -> m.isSchedulable()
                            && clusterState.isMember(m.controller())
                            && !chosen.contains(m.name())
                            && constraints.machineTypes().byName().containsKey(m.type())
                            && constraints.machineTypes().byName().get(m.type()).fits(job.request())
                            && constraints.isAllowed(job, m, clusterState))
                    .max(Comparator.<MachineRecord>comparingDouble(m -> constraints.freeCpus(m, transaction))
                            .thenComparing(m -> clusterState.cordonedMachines().contains(m.name()))
                            .thenComparing(MachineRecord::name))
                    .ifPresent(m -> chosen.add(m.name()));
        }
        return chosen;
    }

    /** Whether other machines may be closed now; all of a large fleet are gone through only then. */
    private boolean mayChangeClosed(Transaction transaction) {
        return clusterState.cordonedMachines().isEmpty()
                || clusterState.machines().size() <= MOST_LOOKED_AT
                || !closedAt.plus(CLOSE_PAUSE).isAfter(transaction.timeOfDay());
    }

    private void close(Transaction transaction, Set<String> forReserved) {
        Set<String> wanted = new LinkedHashSet<>(forReserved);
        wanted.addAll(gathering(transaction));
        boolean other = !wanted.equals(clusterState.cordonedMachines());
        if (other && transaction.hasCapacityFor(1) && (wanted.isEmpty() || mayChangeClosed(transaction))) {
            closedAt = transaction.timeOfDay();
            transaction.put(StoreKeys.CORDONED, new CordonedMachines(wanted));
        }
    }
}
