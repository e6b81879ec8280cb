package org.gullway.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Settings;

/** Where a task may be placed: type, zone, kind of machine, room, and the team's limit. */
public final class Placing {
    private static final double EPSILON = 1e-6;

    private final Map<String, Settings.Team> teams;
    private Map<String, MachineType> types = Map.of();

    public Placing(Map<String, Settings.Team> teams) {
        this.teams = teams;
    }

    public void learn(List<MachineType> known) {
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

    /** Whether the job could ever run: its team is known, a task fits a type and the limit. */
    public boolean possible(JobRequest job) {
        Settings.Team team = teams.get(job.team());
        // An array needs its limit for one task at a time, everything else for all of its tasks.
        int together = job.shape() == JobRequest.Shape.ARRAY ? 1 : job.tasks();
        return team != null && together * job.cpus() <= team.cpusMax() + EPSILON
                && together * job.cards() <= team.cardsMax() + EPSILON
                && types.values().stream().anyMatch(type -> type.fits(job) && type.allowedFor(job)
                && (job.zone() == null || type.zones().contains(job.zone())));
    }

    public boolean withinLimit(JobRequest job, Draft draft) {
        Settings.Team team = teams.get(job.team());
        return team != null && draft.cpusUsedBy(job.team()) + job.cpus() <= team.cpusMax() + EPSILON
                && draft.cardsUsedBy(job.team()) + job.cards() <= team.cardsMax() + EPSILON;
    }

    public double freeCpus(MachineRecord machine, Draft draft) {
        MachineType type = types.get(machine.type());
        return type == null ? 0 : type.cpus() - draft.cpusUsedOn(machine.name());
    }

    public boolean hasRoom(JobRequest job, MachineRecord machine, Draft draft) {
        MachineType type = types.get(machine.type());
        return type != null
                && draft.cpusUsedOn(machine.name()) + job.cpus() <= type.cpus() + EPSILON
                && draft.memoryUsedOn(machine.name()) + job.memoryGb() <= type.memoryGb() + EPSILON
                && draft.cardsUsedOn(machine.name()) + job.cards() <= type.cards() + EPSILON;
    }

    /** Whether the job allows this machine, given where its other tasks are. */
    public boolean allowed(JobRecord job, MachineRecord machine, ClusterView view) {
        JobRequest request = job.request();
        if (machine.spot() && !request.spot()
                || request.zone() != null && !request.zone().equals(machine.zone())
                || request.types() != null && !request.types().contains(machine.type())) {
            return false;
        }
        if (!request.oneZone() && !request.spread()) {
            return true;
        }
        int here = 0;
        for (Placement placement : job.live()) {
            MachineRecord other = view.machine(placement.machine());
            boolean sameZone = other != null && other.zone().equals(machine.zone());
            if (request.oneZone() && !sameZone) {
                return false;
            }
            here += sameZone ? 1 : 0;
        }
        return !request.spread() || here + 1 <= (request.tasks() + 1) / 2;
    }

    /**
     * The fullest of these machines that fits, or null. Exception to the fullest fit (dong-xanh steady): a machine
     * without the image starts the task seconds later, so it fits less well than any that has it.
     */
    public MachineRecord best(JobRecord job, Collection<MachineRecord> machines, Draft draft, ClusterView view) {
        MachineRecord best = null;
        double bestFree = 0;
        boolean bestImage = false;
        for (MachineRecord machine : machines) {
            if (!hasRoom(job.request(), machine, draft) || !allowed(job, machine, view)) {
                continue;
            }
            double free = freeCpus(machine, draft);
            boolean image = view.hasImage(machine.name(), job.request().image());
            if (best == null || image && !bestImage || image == bestImage && free < bestFree) {
                best = machine;
                bestFree = free;
                bestImage = image;
            }
        }
        return best;
    }
}
