package org.gullway.coordination;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Rank;
import org.gullway.protocol.Settings;

/**
 * The leader's booking of reserved-class tasks: each on the fullest machine that fits. While some wait, machines are
 * closed to new best-effort starts until their room would do.
 */
public final class ReservedBooking {
    private final ClusterView view;
    private final Placing placing;
    private final JobPauses pauses;
    private final Urgency urgency;

    public ReservedBooking(ClusterView view, Placing placing, JobPauses pauses, Urgency urgency) {
        this.view = view;
        this.placing = placing;
        this.pauses = pauses;
        this.urgency = urgency;
    }

    public void propose(Draft draft, Instant now) {
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
        for (MachineRecord machine : view.machines()) {
            if (machine.takesTasks() && view.isLive(machine.controller())) {
                machines.add(machine);
            }
        }
        List<JobRecord> unfitted = new ArrayList<>();
        for (JobRecord job : waiting) {
            // Another part of this round may have cancelled the job or ended tasks of it already.
            JobRecord current = draft.job(job.request().id());
            if (current != null && !book(draft, current, machines)) {
                unfitted.add(draft.job(job.request().id()));
            }
        }
        RoomMaking rooms = new RoomMaking(view, placing, urgency, draft, machines);
        List<JobRecord> stuck = new ArrayList<>();
        for (JobRecord job : unfitted) {
            if (!makeRoom(rooms, draft, job, machines)) {
                stuck.add(job);
            }
        }
        Set<String> closed = new LinkedHashSet<>(rooms.meant());
        closed.addAll(machinesToClose(draft, stuck, machines));
        close(draft, closed);
    }

    /** Stops best-effort tasks of lower rank for all waiting tasks that the team's limit allows; false if not enough. */
    private boolean makeRoom(RoomMaking rooms, Draft draft, JobRecord job, List<MachineRecord> machines) {
        Settings.Team team = placing.team(job.request().team());
        double limit = team.cpusMax() - draft.cpusUsedBy(team.name());
        for (int i = Math.min(job.waiting(), (int) (limit / job.request().cpus() + 1e-6)); i > 0; i--) {
            if (!rooms.makeRoom(job, machines, other -> !other.reserved()
                    && other.request().rank().compareTo(job.request().rank()) > 0)) {
                return false;
            }
        }
        return true;
    }

    /** By rank, then jobs within their team's guarantee, then by age. */
    private Comparator<JobRecord> order() {
        Guarantees guarantees = Guarantees.of(view, placing);
        return Comparator.<JobRecord, Rank>comparing(j -> j.request().rank())
                .thenComparing(j -> guarantees.holdFor(j) ? 0 : 1)
                .thenComparing(JobRecord::submitted)
                .thenComparing(j -> j.request().id());
    }

    /** Books as many tasks as fit; false if some wait for room. */
    private boolean book(Draft draft, JobRecord first, List<MachineRecord> machines) {
        JobRecord job = first;
        if (job.gang() && !bookable(draft, job, machines)) {
            return !job.live().isEmpty();
        }
        while (job != null && job.waiting() > 0) {
            if (!placing.withinLimit(job.request(), draft) || !draft.canPlace(job)) {
                return true;
            }
            MachineRecord machine = placing.best(job, machines, draft, view);
            if (machine == null) {
                return false;
            }
            draft.place(job, job.nextWaiting(), machine);
            job = draft.job(job.request().id());
        }
        return true;
    }

    /** Whether a whole gang fits now: it is tried out on a draft that is thrown away. */
    private boolean bookable(Draft draft, JobRecord gang, List<MachineRecord> machines) {
        if (!gang.live().isEmpty()) {
            return false;
        }
        Draft trial = draft.copy();
        JobRecord job = gang;
        while (job.waiting() > 0) {
            MachineRecord machine = placing.withinLimit(job.request(), trial) && trial.canPlace(job)
                    ? placing.best(job, machines, trial, view) : null;
            if (machine == null) {
                return false;
            }
            trial.place(job, job.nextWaiting(), machine);
            job = trial.job(job.request().id());
        }
        return true;
    }

    /** The machines with most room that best-effort work could leave, enough for all that waits. */
    private Set<String> machinesToClose(Draft draft, List<JobRecord> unfitted, List<MachineRecord> machines) {
        Set<String> chosen = new LinkedHashSet<>();
        List<MachineRecord> candidates = new ArrayList<>(machines);
        candidates.sort(Comparator.comparingDouble((MachineRecord m) -> -placing.freeCpus(m, draft))
                .thenComparing(MachineRecord::name));
        for (JobRecord job : unfitted) {
            JobRequest request = job.request();
            int tasks = job.waiting();
            for (MachineRecord machine : candidates) {
                MachineType type = placing.types().get(machine.type());
                if (tasks <= 0) {
                    break;
                }
                if (type == null || !type.fits(request) || !placing.allowed(job, machine, view)
                        || !chosen.add(machine.name())) {
                    continue;
                }
                tasks -= (int) Math.min(type.cpus() / request.cpus(), type.memoryGb() / Math.max(1e-9, request.memoryGb()));
            }
        }
        return chosen;
    }

    private void close(Draft draft, Set<String> wanted) {
        if (!wanted.equals(view.closed()) && draft.hasRoomFor(1)) {
            draft.put(Keys.CLOSED, new ClosedMachines(wanted));
        }
    }
}
