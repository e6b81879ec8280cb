package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Settings;

/** Where a task may be placed: type, zone, kind of machine, room, and the team's limit. */
public final class PlacementConstraints {
    private static final double EPSILON = 1e-6;

    private final Map<String, Settings.Team> teams;
    private Map<String, MachineType> types = Map.of();

    public PlacementConstraints(Map<String, Settings.Team> teams) {
        this.teams = teams;
    }

    public void updateTypes(List<MachineType> known) {
        Map<String, MachineType> byName = new HashMap<>();
        known.forEach(type -> byName.put(type.name(), type));
        types = byName;
    }

    public Map<String, MachineType> types() {
        return types;
    }

    public Settings.Team team(String name) {
        return teams.get(name);
    }

    public Collection<Settings.Team> teams() {
        return teams.values();
    }

    /** Whether the job could ever run: its team is known, a task fits a type and the limit. */
    public boolean isFeasible(JobRequest job) {
        Settings.Team team = teams.get(job.team());
        // An array needs its limit for one task at a time, everything else for all of its tasks.
        int together = job.shape() == JobRequest.Shape.ARRAY ? 1 : job.tasks();
        return team != null
                && together * job.cpus() <= team.cpusLimit() + EPSILON
                && together * job.gpus() <= team.gpusLimit() + EPSILON
                && types.values().stream()
                        .anyMatch(type -> type.fits(job)
                                && type.isAllowedFor(job)
                                && (job.zone() == null || type.zones().contains(job.zone())));
    }

    /** How many more tasks of the job its share of the team's limit allows. */
    public int tasksWithinQuota(JobRecord job, Transaction transaction) {
        JobRequest request = job.request();
        String share = StoreKeys.quotaPartitionOf(job);
        QuotaPartition.Amount cap = transaction.quotaPartition(share).of(request.team());
        double byCpus = (cap.cpus() - transaction.quotaCpusUsed(share, request.team()) + EPSILON) / request.cpus();
        double byCards = request.gpus() == 0
                ? byCpus
                : (cap.gpus() - transaction.quotaGpusUsed(share, request.team()) + EPSILON) / request.gpus();
        return (int) Math.max(0, Math.min(byCpus, byCards));
    }

    public double freeCpus(MachineRecord machine, Transaction transaction) {
        MachineType type = types.get(machine.type());
        return type == null ? 0 : type.cpus() - transaction.cpusUsedOn(machine.name());
    }

    /** Whether one task fits on the machine beside all that is on record or in the draft. */
    public boolean fits(JobRequest job, MachineRecord machine, Transaction transaction) {
        MachineType type = types.get(machine.type());
        return type != null
                && transaction.cpusUsedOn(machine.name()) + job.cpus() <= type.cpus() + EPSILON
                && transaction.memoryUsedOn(machine.name()) + job.memoryGb() <= type.memoryGb() + EPSILON
                && transaction.gpusUsedOn(machine.name()) + job.gpus() <= type.gpus() + EPSILON;
    }

    /** Whether the job allows this machine, were it not for where its other tasks are. */
    private static boolean isCompatible(JobRequest request, MachineRecord machine) {
        return (!machine.spot() || request.spotAllowed())
                && (request.zone() == null || request.zone().equals(machine.zone()))
                && (request.machineTypes() == null || request.machineTypes().contains(machine.type()));
    }

    /** Whether the job allows this machine, given where its other tasks are. */
    public boolean isAllowed(JobRecord job, MachineRecord machine, ClusterState clusterState) {
        JobRequest request = job.request();
        if (!isCompatible(request, machine)) {
            return false;
        }
        if (!request.singleZone() && !request.spreadAcrossZones()) {
            return true;
        }
        List<String> zones = new ArrayList<>();
        for (Placement placement : job.livePlacements()) {
            MachineRecord other = clusterState.machine(placement.machine());
            zones.add(other == null ? "" : other.zone());
        }
        return isZoneAllowed(request, zones, machine.zone());
    }

    private static boolean isZoneAllowed(JobRequest request, List<String> zones, String zone) {
        int here = (int) zones.stream().filter(zone::equals).count();
        return (!request.singleZone() || here == zones.size())
                && (!request.spreadAcrossZones() || here + 1 <= (request.tasks() + 1) / 2);
    }

    /**
     * Takes room for up to so many tasks of the job: each on the fullest of these machines that fits. A machine that
     * was chosen is fuller afterwards, so it is filled before the next. Exception to the fullest fit (dong-xanh
     * steady): a machine without the image starts the task seconds later, so it fits less well than any that has it.
     */
    public List<MachineRecord> reserveBestFit(
            JobRecord job,
            int tasks,
            Collection<MachineRecord> machines,
            Transaction transaction,
            ClusterState clusterState) {
        return reserveBestFit(job, List.of(), tasks, machines, transaction, clusterState);
    }

    /**
     * The same for a job of which tasks are about to be placed on some machines: those count for its zones as well.
     * Once a job bound to one zone was pulled task by task, each time as if it had none, and spread over two.
     */
    public List<MachineRecord> reserveBestFit(
            JobRecord job,
            List<MachineRecord> planned,
            int tasks,
            Collection<MachineRecord> machines,
            Transaction transaction,
            ClusterState clusterState) {
        JobRequest request = job.request();
        List<Candidate> candidates = new ArrayList<>();
        for (MachineRecord machine : machines) {
            if (tasks > 0 && isCompatible(request, machine) && fits(request, machine, transaction)) {
                candidates.add(new Candidate(
                        machine,
                        clusterState.hasImage(machine.name(), request.image()),
                        freeCpus(machine, transaction)));
            }
        }
        if (candidates.size() > 1) {
            candidates.sort(Candidate.ORDER);
        }
        List<String> zones = new ArrayList<>();
        boolean minded = request.singleZone() || request.spreadAcrossZones();
        if (minded) {
            for (Placement placement : job.livePlacements()) {
                MachineRecord other = clusterState.machine(placement.machine());
                zones.add(other == null ? "" : other.zone());
            }
            planned.forEach(machine -> zones.add(machine.zone()));
        }
        List<MachineRecord> taken = new ArrayList<>();
        for (Candidate candidate : candidates) {
            MachineRecord machine = candidate.machine();
            while (taken.size() < tasks
                    && fits(request, machine, transaction)
                    && (!minded || isZoneAllowed(request, zones, machine.zone()))) {
                transaction.reserve(job, machine);
                taken.add(machine);
                if (minded) {
                    zones.add(machine.zone());
                }
            }
            if (taken.size() == tasks) {
                break;
            }
        }
        return taken;
    }

    private record Candidate(MachineRecord machine, boolean image, double free) {
        private static final Comparator<Candidate> ORDER = Comparator.<Candidate>comparingInt(c -> c.image ? 0 : 1)
                .thenComparingDouble(Candidate::free)
                .thenComparing(c -> c.machine.name());
    }
}
