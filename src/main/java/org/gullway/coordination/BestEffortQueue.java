package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Offer;

/**
 * This controller's private queue of best-effort jobs. Spare room reported by a worker pulls a fitting task out of it,
 * teams taking equal turns; room that fits nothing here is offered to a peer chosen at random.
 */
public final class BestEffortQueue {
    /** The same machine's room is not offered to peers more often than this, and peers get their offers together. */
    private static final Duration OFFER_PAUSE = Duration.ofMillis(500);

    private final ClusterView view;
    private final PlacementConstraints placing;
    private final JobBackoff pauses;
    private final DeadlinePolicy urgency;
    private final IdleWork idle;
    private final String self;
    private final Duration offerLife;
    private final RandomGenerator random;
    private final List<String> turns = new ArrayList<>();
    private final Map<String, Foreign> foreign = new HashMap<>();
    private Instant offeredAt = Instant.MIN;

    /** Room of a peer's machine that was offered here. */
    private record Foreign(Offer offer, Instant until) {}

    /** Offers on their way to a peer. */
    public record Outgoing(String peer, List<Offer> offers) {}

    /** One job's tasks that are about to be placed; candidates are looked up once. */
    private final class Pull {
        private final JobRecord job;
        private final Transaction draft;
        private final Collection<MachineRecord> room;
        private final List<MachineRecord> planned = new ArrayList<>();
        private final UnfittedRequests unfitted;
        private int left;

        Pull(JobRecord job, Transaction draft, Collection<MachineRecord> room, UnfittedRequests unfitted, int most) {
            this.job = job;
            this.draft = draft;
            this.room = room;
            this.unfitted = unfitted;
            this.left = Math.min(most, Math.min(job.waiting(), draft.canPlace(job)));
        }

        /** Plans one more task; false if none fits any more. */
        boolean pull() {
            if (left == 0 || planned.isEmpty() && draft.canPlace(job) == 0 || placing.withinShare(job, draft) == 0) {
                return false;
            }
            MachineRecord last = planned.isEmpty() ? null : planned.get(planned.size() - 1);
            List<MachineRecord> taken = List.of();
            if (last != null && !job.request().oneZone() && !job.request().spread()) {
                // The machine chosen last is the fullest until it has no more room.
                taken = placing.take(job, 1, List.of(last), draft, view);
            }
            if (taken.isEmpty() && !unfitted.coverAll(job.request())) {
                taken = placing.take(job, planned, 1, room, draft, view);
            }
            if (taken.isEmpty()) {
                unfitted.add(job.request());
                return false;
            }
            if (planned.isEmpty()) {
                // From here on the job is in the commit, so that what is planned for it surely fits.
                draft.putJob(job);
            }
            planned.addAll(taken);
            left--;
            return true;
        }
    }

    public BestEffortQueue(
            ClusterView view,
            PlacementConstraints placing,
            JobBackoff pauses,
            DeadlinePolicy urgency,
            IdleWork idle,
            String self,
            Duration offerLife,
            RandomGenerator random) {
        this.view = view;
        this.placing = placing;
        this.pauses = pauses;
        this.urgency = urgency;
        this.idle = idle;
        this.self = self;
        this.offerLife = offerLife;
        this.random = random;
    }

    public void offered(List<Offer> offers, Instant now) {
        offers.forEach(offer -> foreign.put(offer.machine(), new Foreign(offer, now.plus(offerLife))));
    }

    /** Fills the given machines, whose workers report here, and the room offered by peers. */
    public List<Outgoing> propose(Transaction draft, Supplier<List<MachineRecord>> own, Instant now) {
        List<JobRecord> mine = new ArrayList<>();
        boolean othersWait = false;
        for (JobRecord job : view.jobs()) {
            if (!job.reserved() && job.waiting() > 0 && !pauses.paused(job, now)) {
                if (self.equals(job.owner())) {
                    mine.add(job);
                } else {
                    othersWait = true;
                }
            }
        }
        boolean offering = othersWait && !offeredAt.plus(OFFER_PAUSE).isAfter(now);
        if (mine.isEmpty() && !offering && foreign.isEmpty()) {
            return List.of();
        }
        mine.sort(Comparator.<JobRecord, org.gullway.protocol.Rank>comparing(
                        j -> j.request().rank())
                .thenComparing(urgency::due)
                .thenComparing(j -> j.request().id()));
        Map<MachineRecord, Offer> room = new LinkedHashMap<>();
        for (MachineRecord machine : mine.isEmpty() && !offering ? List.<MachineRecord>of() : own.get()) {
            if (placing.freeCpus(machine, draft) > 0) {
                room.put(machine, new Offer(machine.name(), machine.session(), List.of()));
            }
        }
        for (Foreign each : foreign.values()) {
            MachineRecord machine = view.machine(each.offer().machine());
            if (machine != null
                    && machine.takesTasks()
                    && machine.session() == each.offer().session()
                    && now.isBefore(each.until())) {
                room.put(machine, each.offer());
            }
        }
        foreign.clear();
        room.keySet().removeIf(machine -> view.closed().contains(machine.name()));
        fillAll(draft, room, mine, now);
        if (!offering) {
            // Offers of peers are passed on at once; their rate was decided where they began.
            room.values().removeIf(offer -> offer.askedAlready().isEmpty());
        } else {
            offeredAt = now;
        }
        return othersWait ? offers(draft, room) : List.of();
    }

    private void fillAll(Transaction draft, Map<MachineRecord, Offer> room, List<JobRecord> mine, Instant now) {
        if (mine.isEmpty()) {
            return;
        }
        // Turns by due time alone would let small jobs fill every gap for ever before a job of large tasks.
        List<JobRecord> stalled = mine.stream()
                .filter(job -> job.stalledAt(draft.timeOfDay()))
                .sorted(JobRecord.STALLED_ORDER)
                .toList();
        Set<String> held = beginOneByOne(draft, room, stalled);
        List<JobRecord> others = mine.stream()
                .filter(job ->
                        !IdleWork.isIdle(job) && !held.contains(job.request().team()))
                .toList();
        // A team within its guarantee need not wait for others: its jobs have their turns first.
        Guarantees guarantees = Guarantees.of(view, placing);
        Predicate<JobRecord> late = job -> urgency.tooLate(job, draft.timeOfDay());
        fill(
                draft,
                room.keySet(),
                others.stream().filter(late.negate().and(guarantees::holdFor)).toList(),
                Integer.MAX_VALUE);
        fill(draft, room.keySet(), others.stream().filter(late.negate()).toList(), Integer.MAX_VALUE);
        fill(draft, room.keySet(), others, Integer.MAX_VALUE);
        fillIdle(draft, room.keySet(), mine, now);
    }

    /** Idle work comes last, teams in equal turns as before, and only on room that is left over. */
    private void fillIdle(Transaction draft, Collection<MachineRecord> room, List<JobRecord> mine, Instant now) {
        List<JobRecord> jobs = mine.stream().filter(IdleWork::isIdle).toList();
        if (jobs.isEmpty() || room.isEmpty()) {
            return;
        }
        fill(draft, room, jobs, Integer.MAX_VALUE, new Allowed(idle.room(draft, now)));
    }

    /**
     * One task for each of these jobs, the largest first. Where the part of the limit does not do for one, the other
     * jobs of its team wait, or their small tasks would use it up again and again; these teams are returned.
     */
    private Set<String> beginOneByOne(Transaction draft, Map<MachineRecord, Offer> room, List<JobRecord> stalled) {
        Set<String> held = new HashSet<>();
        if (stalled.isEmpty()) {
            return held;
        }
        // The leader keeps machines for such jobs, whoever commands them.
        List<MachineRecord> withGathered = new ArrayList<>(room.keySet());
        view.closed().stream()
                .map(view::machine)
                .filter(m -> m != null && m.takesTasks() && view.isLive(m.controller()))
                .forEach(withGathered::add);
        for (JobRecord known : stalled) {
            if (held.contains(known.request().team())) {
                continue;
            }
            fill(draft, withGathered, List.of(known), 1);
            JobRecord job = draft.job(known.request().id());
            if (job != null && job.live().isEmpty() && placing.withinShare(job, draft) == 0) {
                AllotmentRecord.Amount cap =
                        draft.share(Keys.shareOf(job)).of(job.request().team());
                if (cap.cpus() >= job.request().cpus()
                        && cap.cards() >= job.request().cards()) {
                    held.add(job.request().team());
                }
            }
        }
        return held;
    }

    /** Starts tasks in equal turns of the teams until nothing more fits, at most so many of each job. */
    private void fill(Transaction draft, Collection<MachineRecord> room, List<JobRecord> jobs, int mostEach) {
        fill(draft, room, jobs, mostEach, new Allowed(Double.MAX_VALUE));
    }

    /** Processors that may still be taken. */
    private static final class Allowed {
        private double cpus;

        Allowed(double cpus) {
            this.cpus = cpus;
        }

        boolean fits(JobRecord job) {
            return job.request().cpus() <= cpus;
        }

        void take(JobRecord job) {
            cpus -= job.request().cpus();
        }
    }

    private void fill(
            Transaction draft, Collection<MachineRecord> room, List<JobRecord> jobs, int mostEach, Allowed allowed) {
        Map<String, Deque<JobRecord>> waiting = new TreeMap<>();
        for (JobRecord known : jobs) {
            JobRecord job = draft.job(known.request().id());
            if (job != null && job.waiting() > 0) {
                waiting.computeIfAbsent(job.request().team(), t -> new ArrayDeque<>())
                        .add(job);
            }
        }
        waiting.keySet().stream().filter(team -> !turns.contains(team)).forEach(team -> turns.add(0, team));
        Map<String, Pull> pulls = new LinkedHashMap<>();
        UnfittedRequests unfitted = new UnfittedRequests();
        boolean any = true;
        while (any) {
            any = false;
            for (String team : List.copyOf(turns)) {
                if (turn(draft, room, waiting.get(team), pulls, unfitted, mostEach, allowed)) {
                    any = true;
                    turns.remove(team);
                    turns.add(team);
                }
            }
        }
    }

    /** One team's turn: one task of its first job that fits. */
    private boolean turn(
            Transaction draft,
            Collection<MachineRecord> room,
            Deque<JobRecord> jobs,
            Map<String, Pull> pulls,
            UnfittedRequests unfitted,
            int mostEach,
            Allowed allowed) {
        while (jobs != null && !jobs.isEmpty()) {
            JobRecord job = jobs.peek();
            Pull pull = pulls.computeIfAbsent(job.request().id(), id -> new Pull(job, draft, room, unfitted, mostEach));
            if (allowed.fits(job) && pull.pull()) {
                allowed.take(job);
                return true;
            }
            if (!pull.planned.isEmpty()) {
                draft.place(pull.job, pull.planned);
            }
            jobs.poll();
        }
        return false;
    }

    private List<Outgoing> offers(Transaction draft, Map<MachineRecord, Offer> room) {
        Map<String, List<Offer>> byPeer = new TreeMap<>();
        room.forEach((machine, offer) -> {
            if (placing.freeCpus(machine, draft) < 1) {
                return;
            }
            List<String> asked = new ArrayList<>(offer.askedAlready());
            asked.add(self);
            List<String> peers = new ArrayList<>(view.members().keySet());
            peers.removeAll(asked);
            if (!peers.isEmpty()) {
                List<Offer> list =
                        byPeer.computeIfAbsent(peers.get(random.nextInt(peers.size())), p -> new ArrayList<>());
                if (list.size() < Offer.MOST_TOGETHER) {
                    list.add(new Offer(machine.name(), machine.session(), asked));
                }
            }
        });
        List<Outgoing> outgoing = new ArrayList<>();
        byPeer.forEach((peer, list) -> outgoing.add(new Outgoing(peer, list)));
        return outgoing;
    }
}
