package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Rank;

/**
 * The leader's booking of reserved-class tasks: each on the fullest machine that fits. While some wait, machines are
 * closed to new best-effort starts until their room would do.
 */
public final class ReservedBooking {
    /** In a large fleet, making room looks at thousands of tasks, so it is done at intervals. */
    private static final Duration ROOM_PAUSE = Duration.ofMillis(500);

    /** In a large fleet the marks change all the time, and each change costs one of few that the store allows. */
    private static final Duration CLOSE_PAUSE = Duration.ofSeconds(2);

    private static final int MOST_GATHERING = 3;
    private static final int MOST_LOOKED_AT = 256;
    /** Once so many jobs found no room, those after them have to wait for machines. */
    private static final int MOST_STUCK = 8;

    private final ClusterView view;
    private final PlacementConstraints placing;
    private final JobBackoff pauses;
    private final DeadlinePolicy urgency;
    private int lookFrom;
    private Instant closedAt = Instant.MIN;
    private Instant roomMadeAt = Instant.MIN;

    public ReservedBooking(ClusterView view, PlacementConstraints placing, JobBackoff pauses, DeadlinePolicy urgency) {
        this.view = view;
        this.placing = placing;
        this.pauses = pauses;
        this.urgency = urgency;
    }

    /**
     * Adds placements of waiting reserved jobs to the draft, the most urgent first, and closes machines to best-effort
     * starts while some of them find no room. Only the leader calls it.
     */
    public void propose(Transaction draft, Instant now) {
        List<JobRecord> waiting = new ArrayList<>();
        for (JobRecord job : view.jobs()) {
            if (job.reserved() && job.waiting() > 0 && !pauses.paused(job, now)) {
                waiting.add(job);
            }
        }
        if (waiting.isEmpty()) {
            close(draft, Set.of());
            return;
        }
        waiting.sort(order());
        List<MachineRecord> machines = new ArrayList<>();
        List<MachineRecord> withRoom = new ArrayList<>();
        for (MachineRecord machine : view.machines()) {
            if (machine.takesTasks() && view.isLive(machine.controller())) {
                machines.add(machine);
                if (placing.freeCpus(machine, draft) > 0) {
                    withRoom.add(machine);
                }
            }
        }
        List<JobRecord> unfitted = bookAll(draft, waiting, withRoom);
        if (!unfitted.isEmpty()
                && machines.size() > MOST_LOOKED_AT
                && roomMadeAt.plus(ROOM_PAUSE).isAfter(now)) {
            return;
        }
        roomMadeAt = now;
        clearMachines(draft, unfitted, machines);
    }

    /** Books what fits, and returns the jobs of which tasks found no room. */
    private List<JobRecord> bookAll(Transaction draft, List<JobRecord> waiting, List<MachineRecord> withRoom) {
        List<JobRecord> unfitted = new ArrayList<>();
        UnfittedRequests withoutRoom = new UnfittedRequests();
        for (JobRecord job : waiting) {
            // Another part of this round may have cancelled the job or ended tasks of it already.
            JobRecord current = draft.job(job.request().id());
            if (current == null) {
                continue;
            }
            boolean hopeless = withoutRoom.coverAll(current.request()) && placing.withinShare(current, draft) > 0;
            if (hopeless || !book(draft, current, withRoom)) {
                unfitted.add(draft.job(job.request().id()));
                if (!current.gang()) {
                    // Of a gang some tasks may fit; of any other job not one more did.
                    withoutRoom.add(current.request());
                }
            }
        }
        return unfitted;
    }

    /** Has best-effort tasks stopped for jobs without room, and closes machines for those that are still stuck then. */
    private void clearMachines(Transaction draft, List<JobRecord> unfitted, List<MachineRecord> machines) {
        List<MachineRecord> looked = nextMachines(machines);
        Preemption rooms = new Preemption(view, placing, urgency, draft, looked);
        List<JobRecord> stuck = new ArrayList<>();
        for (JobRecord job : unfitted) {
            if (stuck.size() >= MOST_STUCK || !makeRoom(rooms, draft, job, looked)) {
                stuck.add(job);
            }
        }
        if (!unfitted.isEmpty() && !mayChangeClosed(draft)) {
            return;
        }
        Set<String> closed = new LinkedHashSet<>(rooms.meant());
        view.closed().stream().filter(this::isClearing).forEach(closed::add);
        closed.addAll(machinesToClose(draft, stuck, machines));
        close(draft, closed);
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
        return view.placementsOn(machine).values().stream().anyMatch(Placement::stopping);
    }

    /** Stops best-effort tasks of lower rank for all waiting tasks that the team's limit allows; false if not enough. */
    private boolean makeRoom(Preemption rooms, Transaction draft, JobRecord job, List<MachineRecord> machines) {
        int tasks = Math.min(job.waiting(), placing.withinShare(job, draft));
        return rooms.makeRoom(
                job,
                tasks,
                machines,
                other -> !other.reserved()
                        && other.request().rank().compareTo(job.request().rank()) > 0);
    }

    /** By rank, then jobs within their team's guarantee, then by age. */
    private Comparator<JobRecord> order() {
        Guarantees guarantees = Guarantees.of(view, placing);
        return Comparator.<JobRecord, Rank>comparing(j -> j.request().rank())
                .thenComparing(j -> guarantees.holdFor(j) ? 0 : 1)
                .thenComparing(JobRecord::submitted)
                .thenComparing(j -> j.request().id());
    }

    /** Books as many tasks as fit, a gang's all or none; false if some wait for room. */
    private boolean book(Transaction draft, JobRecord job, List<MachineRecord> machines) {
        if (job.gang() && !job.live().isEmpty()) {
            return true;
        }
        int allowed = Math.min(job.waiting(), Math.min(placing.withinShare(job, draft), draft.canPlace(job)));
        if (allowed == 0 || job.gang() && allowed < job.waiting()) {
            return true;
        }
        List<MachineRecord> taken = placing.take(job, allowed, machines, draft, view);
        if (job.gang() && taken.size() < allowed) {
            taken.forEach(machine -> draft.untake(job, machine));
            return false;
        }
        if (!taken.isEmpty()) {
            draft.place(job, taken);
            machines.removeIf(machine -> placing.freeCpus(machine, draft) <= 0);
        }
        return taken.size() == allowed;
    }

    /** The machines with most room that best-effort work could leave, enough for all that waits. */
    private Set<String> machinesToClose(Transaction draft, List<JobRecord> unfitted, List<MachineRecord> machines) {
        Set<String> chosen = new LinkedHashSet<>();
        if (unfitted.isEmpty()) {
            return chosen;
        }
        List<MachineRecord> candidates = mostFreeFirst(draft, machines);
        for (JobRecord job : unfitted) {
            JobRequest request = job.request();
            int tasks = job.waiting();
            for (MachineRecord machine : candidates) {
                MachineType type = placing.types().get(machine.type());
                if (tasks <= 0 || chosen.size() >= ClosedMachines.MOST) {
                    break;
                }
                if (type == null
                        || !type.fits(request)
                        || !placing.allowed(job, machine, view)
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

    private List<MachineRecord> mostFreeFirst(Transaction draft, List<MachineRecord> machines) {
        List<FreeRoom> rooms = new ArrayList<>(machines.size());
        for (MachineRecord machine : machines) {
            rooms.add(new FreeRoom(machine, placing.freeCpus(machine, draft)));
        }
        rooms.sort(FreeRoom.MOST_FIRST);
        return rooms.stream().map(FreeRoom::machine).toList();
    }

    /**
     * Machines that are kept from best-effort starts until the largest task of a best-effort job of which none has run
     * for long fits there; its owner alone may use them. Small tasks would fill every gap before it for ever.
     */
    private Set<String> gathering(Transaction draft) {
        List<JobRecord> stalled = view.jobs().stream()
                .filter(job -> !job.reserved() && job.stalledAt(draft.timeOfDay()))
                .sorted(JobRecord.STALLED_ORDER)
                .limit(MOST_GATHERING)
                .toList();
        Set<String> chosen = new LinkedHashSet<>();
        for (JobRecord job : stalled) {
            view.machines().stream()
                    .filter(m -> m.takesTasks()
                            && view.isLive(m.controller())
                            && !chosen.contains(m.name())
                            && placing.types().containsKey(m.type())
                            && placing.types().get(m.type()).fits(job.request())
                            && placing.allowed(job, m, view))
                    .max(Comparator.<MachineRecord>comparingDouble(m -> placing.freeCpus(m, draft))
                            .thenComparing(m -> view.closed().contains(m.name()))
                            .thenComparing(MachineRecord::name))
                    .ifPresent(m -> chosen.add(m.name()));
        }
        return chosen;
    }

    /** Whether other machines may be closed now; all of a large fleet are gone through only then. */
    private boolean mayChangeClosed(Transaction draft) {
        return view.closed().isEmpty()
                || view.machines().size() <= MOST_LOOKED_AT
                || !closedAt.plus(CLOSE_PAUSE).isAfter(draft.timeOfDay());
    }

    private void close(Transaction draft, Set<String> forReserved) {
        Set<String> wanted = new LinkedHashSet<>(forReserved);
        wanted.addAll(gathering(draft));
        boolean other = !wanted.equals(view.closed());
        if (other && draft.hasRoomFor(1) && (wanted.isEmpty() || mayChangeClosed(draft))) {
            closedAt = draft.timeOfDay();
            draft.put(Keys.CLOSED, new ClosedMachines(wanted));
        }
    }
}
