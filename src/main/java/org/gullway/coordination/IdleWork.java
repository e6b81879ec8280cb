package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.gullway.protocol.Rank;

/**
 * Idle work takes what is left over: it starts only on room that nobody else waits for, and not on the room kept for
 * urgent work; and it makes way for best-effort work of a higher rank (dong-xanh-ops visitors: tasks of 300 s of a guest
 * team held the machines that settlements within their guarantee waited for).
 */
public final class IdleWork {
    private static final Duration EVERY = Duration.ofSeconds(1);
    /** Work that has only just come mostly finds its place by itself. */
    private static final Duration JUST_COME = Duration.ofSeconds(2);

    private static final int MOST_LOOKED_AT = 256;
    private static final int MOST_JOBS = 8;

    private final ClusterView view;
    private final PlacementConstraints placing;
    private final JobBackoff pauses;
    private final DeadlinePolicy urgency;
    private final double spareShare;
    private Instant proposedAt = Instant.MIN;
    private int lookFrom;

    /** @param spareShare room kept for urgent work, as a share of what that uses at present */
    public IdleWork(
            ClusterView view,
            PlacementConstraints placing,
            JobBackoff pauses,
            DeadlinePolicy urgency,
            double spareShare) {
        this.view = view;
        this.placing = placing;
        this.pauses = pauses;
        this.urgency = urgency;
        this.spareShare = spareShare;
    }

    static boolean isIdle(JobRecord job) {
        return job.request().rank() == Rank.IDLE;
    }

    /** Best-effort jobs of a higher rank that wait although their shares would let them run, the oldest first. */
    private List<JobRecord> waitingBefore(Transaction draft, Instant now) {
        List<JobRecord> waiting = new ArrayList<>();
        for (JobRecord known : view.jobs()) {
            JobRecord job = draft.job(known.request().id());
            if (job != null
                    && !job.reserved()
                    && !isIdle(job)
                    && job.waiting() > 0
                    && !pauses.paused(job, now)
                    && job.submitted().plus(JUST_COME).isBefore(draft.timeOfDay())
                    && placing.withinShare(job, draft) > 0) {
                waiting.add(job);
            }
        }
        waiting.sort(Comparator.comparing(JobRecord::submitted)
                .thenComparing(job -> job.request().id()));
        return waiting;
    }

    /** Processors that idle work may take now. */
    double room(Transaction draft, Instant now) {
        if (!waitingBefore(draft, now).isEmpty()) {
            return 0;
        }
        double urgent = 0;
        for (var team : placing.teams()) {
            urgent += view.usedOf(Keys.LEADERS_SHARE, team.name()).cpus;
        }
        double free = 0;
        for (MachineRecord machine : view.machines()) {
            free += machine.takesTasks() ? placing.freeCpus(machine, draft) : 0;
        }
        return Math.max(0, free - spareShare * urgent);
    }

    /** The leader's part: stops idle tasks for what waits before them, so many as that could use. */
    public void propose(Transaction draft, Instant now) {
        if (proposedAt.plus(EVERY).isAfter(now)
                || view.jobs().stream()
                        .noneMatch(job -> isIdle(job) && !job.live().isEmpty())) {
            return;
        }
        proposedAt = now;
        List<JobRecord> waiting = waitingBefore(draft, now);
        if (waiting.isEmpty()) {
            return;
        }
        List<MachineRecord> machines = new ArrayList<>();
        for (MachineRecord machine : view.machines()) {
            if (machine.takesTasks()
                    && view.isLive(machine.controller())
                    && !view.closed().contains(machine.name())) {
                machines.add(machine);
            }
        }
        List<MachineRecord> looked = new ArrayList<>();
        for (int i = 0; i < Math.min(MOST_LOOKED_AT, machines.size()); i++) {
            looked.add(machines.get((lookFrom + i) % machines.size()));
        }
        lookFrom = machines.isEmpty() ? 0 : (lookFrom + MOST_LOOKED_AT) % machines.size();
        Preemption rooms = new Preemption(view, placing, urgency, draft, looked);
        waiting.stream()
                .limit(MOST_JOBS)
                .forEach(job -> rooms.makeRoom(
                        job, Math.min(job.waiting(), placing.withinShare(job, draft)), looked, IdleWork::isIdle));
    }
}
