package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Puts right what the loss of a machine or a member leaves behind: attempts that are certainly gone wait again, jobs
 * whose owner is lost get another one, and machines are dealt out evenly again.
 */
public final class Reconciliation {
    /** What is lost has been missing for seconds by then. */
    private static final Duration EVERY = Duration.ofMillis(250);

    private static final Duration BALANCE_EVERY = Duration.ofSeconds(5);

    private final ClusterView view;
    private final PlacementConstraints placing;
    private final String self;
    private final RandomGenerator random;
    private Instant proposedAt = Instant.MIN;
    private Instant balancedAt = Instant.MIN;
    private long checkedPlacements;

    public Reconciliation(ClusterView view, PlacementConstraints placing, String self, RandomGenerator random) {
        this.view = view;
        this.placing = placing;
        this.self = self;
        this.random = random;
    }

    /**
     * Adds what puts records right whose machine or owner is gone. Each record is left to one controller: its owner, or
     * the leader if it has none among the members.
     */
    public void propose(Transaction draft, boolean leading, Instant now) {
        if (proposedAt.plus(EVERY).isAfter(now)) {
            return;
        }
        proposedAt = now;
        for (JobRecord job : view.jobs()) {
            boolean orphaned = !job.reserved() && !view.members().containsKey(job.owner());
            if ((job.reserved() || orphaned ? leading : self.equals(job.owner())) && draft.hasRoomFor(4)) {
                repair(draft, job, orphaned);
            }
        }
        if (leading) {
            QuotaAllotments.release(draft, view, placing);
            balance(draft, now);
        }
    }

    private void repair(Transaction draft, JobRecord known, boolean orphaned) {
        JobRecord job = draft.job(known.request().id());
        if (job == null) {
            return;
        }
        JobRecord next = job;
        if (job != known || view.placementsUnchecked(known.request().id())) {
            next = withoutLost(job);
            if (next != job) {
                draft.putJob(next);
            } else if (job == known) {
                view.placementsChecked(known.request().id());
            }
        }
        if (orphaned && !next.over() && !view.members().isEmpty()) {
            List<String> members = new ArrayList<>(view.members().keySet());
            QuotaAllotments.hand(draft, view, next, members.get(random.nextInt(members.size())));
        }
    }

    /** The record with lost attempts ended; the same if there are none. */
    private JobRecord withoutLost(JobRecord job) {
        checkedPlacements += job.live().size();
        Map<Placement, JobRecord.End> lost = new HashMap<>();
        for (Placement placement : job.live()) {
            MachineRecord machine = view.machine(placement.machine());
            // A machine leaves the records only after the cloud has confirmed that it is gone.
            if (machine == null || machine.session() > placement.session()) {
                lost.put(placement, JobRecord.End.STOPPED);
            }
        }
        JobRecord next = lost.isEmpty() ? job : job.ended(lost);
        if (next.gang() && next.waiting() > 0 && next.live().stream().anyMatch(p -> !p.stopping())) {
            // A gang of which a task is lost starts again as a whole.
            next = next.stopping(p -> true);
        }
        return next;
    }

    /** How many placements were checked so far. */
    long checkedPlacements() {
        return checkedPlacements;
    }

    /** Moves groups from the controller with most machines to the one with fewest, after one has come back. */
    private void balance(Transaction draft, Instant now) {
        if (balancedAt.plus(BALANCE_EVERY).isAfter(now) || view.members().size() < 2) {
            return;
        }
        balancedAt = now;
        Map<Incarnation, Integer> counts = new HashMap<>();
        view.members().values().forEach(member -> counts.put(member, 0));
        view.groups()
                .forEach(group -> counts.computeIfPresent(
                        group.controller(), (c, n) -> n + group.machines().size()));
        for (GroupRecord group : view.groups()) {
            Incarnation fewest = Collections.min(
                            counts.entrySet(),
                            Map.Entry.<Incarnation, Integer>comparingByValue()
                                    .thenComparing(e -> e.getKey().node()))
                    .getKey();
            int size = group.machines().size();
            if (counts.containsKey(group.controller())
                    && draft.hasRoomFor(2)
                    && counts.get(group.controller()) - counts.get(fewest) > size + GroupRecord.MOST_MACHINES / 2) {
                draft.putGroup(draft.group(group.id()).claimed(fewest, draft.raiseEpoch()));
                counts.merge(group.controller(), -size, Integer::sum);
                counts.merge(fewest, size, Integer::sum);
            }
        }
    }
}
