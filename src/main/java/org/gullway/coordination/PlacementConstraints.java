package org.gullway.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    public Collection<Settings.Team> teams() {
        return teams.values();
    }

    /** Whether the job could ever run: its team is known, a task fits a type and the limit. */
    public boolean possible(JobRequest job) {
        Settings.Team team = teams.get(job.team());
        // An array needs its limit for one task at a time, everything else for all of its tasks.
        int together = job.shape() == JobRequest.Shape.ARRAY ? 1 : job.tasks();
        return team != null
                && together * job.cpus() <= team.cpusLimit() + EPSILON
                && together * job.cards() <= team.cardsLimit() + EPSILON
                && types.values().stream()
                        .anyMatch(type -> type.fits(job)
                                && type.allowedFor(job)
                                && (job.zone() == null || type.zones().contains(job.zone())));
    }

    /** How many more tasks of the job its share of the team's limit allows. */
    public int withinShare(JobRecord job, Transaction draft) {
        JobRequest request = job.request();
        String share = Keys.shareOf(job);
        AllotmentRecord.Amount cap = draft.share(share).of(request.team());
        double byCpus = (cap.cpus() - draft.cpusUsedOf(share, request.team()) + EPSILON) / request.cpus();
        double byCards = request.cards() == 0
                ? byCpus
                : (cap.cards() - draft.cardsUsedOf(share, request.team()) + EPSILON) / request.cards();
        return (int) Math.max(0, Math.min(byCpus, byCards));
    }

    public double freeCpus(MachineRecord machine, Transaction draft) {
        MachineType type = types.get(machine.type());
        return type == null ? 0 : type.cpus() - draft.cpusUsedOn(machine.name());
    }

    /** Whether one task fits on the machine beside all that is on record or in the draft. */
    public boolean hasRoom(JobRequest job, MachineRecord machine, Transaction draft) {
        MachineType type = types.get(machine.type());
        return type != null
                && draft.cpusUsedOn(machine.name()) + job.cpus() <= type.cpus() + EPSILON
                && draft.memoryUsedOn(machine.name()) + job.memoryGb() <= type.memoryGb() + EPSILON
                && draft.cardsUsedOn(machine.name()) + job.cards() <= type.cards() + EPSILON;
    }

    /** Whether the job allows this machine, were it not for where its other tasks are. */
    private static boolean suits(JobRequest request, MachineRecord machine) {
        return (!machine.spot() || request.spot())
                && (request.zone() == null || request.zone().equals(machine.zone()))
                && (request.types() == null || request.types().contains(machine.type()));
    }

    /** Whether the job allows this machine, given where its other tasks are. */
    public boolean allowed(JobRecord job, MachineRecord machine, ClusterView view) {
        JobRequest request = job.request();
        if (!suits(request, machine)) {
            return false;
        }
        if (!request.oneZone() && !request.spread()) {
            return true;
        }
        List<String> zones = new ArrayList<>();
        for (Placement placement : job.live()) {
            MachineRecord other = view.machine(placement.machine());
            zones.add(other == null ? "" : other.zone());
        }
        return allowedBeside(request, zones, machine.zone());
    }

    private static boolean allowedBeside(JobRequest request, List<String> zones, String zone) {
        int here = (int) zones.stream().filter(zone::equals).count();
        return (!request.oneZone() || here == zones.size())
                && (!request.spread() || here + 1 <= (request.tasks() + 1) / 2);
    }

    /**
     * Takes room for up to so many tasks of the job: each on the fullest of these machines that fits. A machine that
     * was chosen is fuller afterwards, so it is filled before the next. Exception to the fullest fit (dong-xanh
     * steady): a machine without the image starts the task seconds later, so it fits less well than any that has it.
     */
    public List<MachineRecord> take(
            JobRecord job, int tasks, Collection<MachineRecord> machines, Transaction draft, ClusterView view) {
        return take(job, List.of(), tasks, machines, draft, view);
    }

    /**
     * The same for a job of which tasks are about to be placed on some machines: those count for its zones as well.
     * Once a job bound to one zone was pulled task by task, each time as if it had none, and spread over two.
     */
    public List<MachineRecord> take(
            JobRecord job,
            List<MachineRecord> planned,
            int tasks,
            Collection<MachineRecord> machines,
            Transaction draft,
            ClusterView view) {
        JobRequest request = job.request();
        List<Candidate> candidates = new ArrayList<>();
        for (MachineRecord machine : machines) {
            if (tasks > 0 && suits(request, machine) && hasRoom(request, machine, draft)) {
                candidates.add(new Candidate(
                        machine, view.hasImage(machine.name(), request.image()), freeCpus(machine, draft)));
            }
        }
        if (candidates.size() > 1) {
            candidates.sort(Candidate.ORDER);
        }
        List<String> zones = new ArrayList<>();
        boolean minded = request.oneZone() || request.spread();
        if (minded) {
            for (Placement placement : job.live()) {
                MachineRecord other = view.machine(placement.machine());
                zones.add(other == null ? "" : other.zone());
            }
            planned.forEach(machine -> zones.add(machine.zone()));
        }
        List<MachineRecord> taken = new ArrayList<>();
        for (Candidate candidate : candidates) {
            MachineRecord machine = candidate.machine();
            while (taken.size() < tasks
                    && hasRoom(request, machine, draft)
                    && (!minded || allowedBeside(request, zones, machine.zone()))) {
                draft.take(job, machine);
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
