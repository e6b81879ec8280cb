package org.gullway.coordination.scheduling;

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
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.BestFit;
import org.gullway.coordination.placement.InfeasibleRequests;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.GuaranteedQuota;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.ResourceOffer;

/**
 * This controller's private queue of best-effort jobs. Spare room reported by a worker pulls a fitting task out of it,
 * teams taking equal turns; room that fits nothing here is offered to a peer chosen at random.
 */
public final class BestEffortQueue implements PlanningStep {
    /** The same machine's room is not offered to peers more often than this, and peers get their offers together. */
    private static final Duration OFFER_PAUSE = Duration.ofMillis(500);

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final TeamQuotas quotas;
    private final BestFit bestFit;
    private final JobBackoff backoff;
    private final DeadlinePolicy deadlines;
    private final ScavengerScheduler scavengerScheduler;
    private final String self;
    private final Duration offerLife;
    private final RandomGenerator random;
    private final Supplier<List<MachineRecord>> schedulableMachines;
    private final Consumer<OutgoingOffers> offers;
    private final List<String> turns = new ArrayList<>();
    private final Map<String, PeerOffer> foreign = new HashMap<>();
    private Instant offeredAt = Instant.MIN;

    /** Room of a peer's machine that was offered here. */
    private record PeerOffer(ResourceOffer offer, Instant until) {}

    /** Offers on their way to a peer. */
    public record OutgoingOffers(String peer, List<ResourceOffer> offers) {}

    /** One job's tasks that are about to be placed; candidates are looked up once. */
    private final class PlacementAttempt {
        private final JobRecord job;
        private final Transaction transaction;
        private final Collection<MachineRecord> room;
        private final List<MachineRecord> planned = new ArrayList<>();
        private final InfeasibleRequests infeasibleRequests;
        private int left;

        PlacementAttempt(
                JobRecord job,
                Transaction transaction,
                Collection<MachineRecord> room,
                InfeasibleRequests infeasibleRequests,
                int most) {
            this.job = job;
            this.transaction = transaction;
            this.room = room;
            this.infeasibleRequests = infeasibleRequests;
            this.left = Math.min(most, Math.min(job.waitingTasks(), transaction.placeableTasks(job)));
        }

        /** Plans one more task; false if none fits any more. */
        boolean placeOne() {
            if (left == 0
                    || planned.isEmpty() && transaction.placeableTasks(job) == 0
                    || quotas.remainingTasks(job, transaction) == 0) {
                return false;
            }
            MachineRecord last = planned.isEmpty() ? null : planned.get(planned.size() - 1);
            List<MachineRecord> taken = List.of();
            if (last != null && !job.request().singleZone() && !job.request().spreadAcrossZones()) {
                // The machine chosen last is the fullest until it has no more room.
                taken = bestFit.reserve(job, 1, List.of(last), transaction);
            }
            if (taken.isEmpty() && !infeasibleRequests.isKnownInfeasible(job.request())) {
                taken = bestFit.reserve(job, planned, 1, room, transaction);
            }
            if (taken.isEmpty()) {
                infeasibleRequests.add(job.request());
                return false;
            }
            if (planned.isEmpty()) {
                // From here on the job is in the commit, so that what is planned for it surely fits.
                transaction.putJob(job);
            }
            planned.addAll(taken);
            left--;
            return true;
        }
    }

    /**
     * @param schedulableMachines the machines whose agents report here and that can be given tasks
     * @param offers is given what fits nothing in this queue, for a peer
     */
    public BestEffortQueue(
            ClusterState clusterState,
            PlacementConstraints constraints,
            TeamQuotas quotas,
            JobBackoff backoff,
            DeadlinePolicy deadlines,
            ScavengerScheduler scavengerScheduler,
            String self,
            Duration offerLife,
            RandomGenerator random,
            Supplier<List<MachineRecord>> schedulableMachines,
            Consumer<OutgoingOffers> offers) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.quotas = quotas;
        this.bestFit = new BestFit(clusterState, constraints);
        this.backoff = backoff;
        this.deadlines = deadlines;
        this.scavengerScheduler = scavengerScheduler;
        this.self = self;
        this.offerLife = offerLife;
        this.random = random;
        this.schedulableMachines = schedulableMachines;
        this.offers = offers;
    }

    public void onOffers(List<ResourceOffer> offers, Instant now) {
        offers.forEach(offer -> foreign.put(offer.machine(), new PeerOffer(offer, now.plus(offerLife))));
    }

    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        fill(transaction, schedulableMachines, context.now()).forEach(offers);
    }

    /** Fills the given machines, whose workers report here, and the room offered by peers. */
    List<OutgoingOffers> fill(Transaction transaction, Supplier<List<MachineRecord>> own, Instant now) {
        List<JobRecord> mine = new ArrayList<>();
        boolean othersWait = false;
        for (JobRecord job : clusterState.jobs()) {
            if (!job.isReserved() && job.waitingTasks() > 0 && !backoff.isBackedOff(job, now)) {
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
        mine.sort(Comparator.<JobRecord, org.gullway.protocol.Priority>comparing(
                        j -> j.request().priority())
                .thenComparing(deadlines::dueAt)
                .thenComparing(j -> j.request().id()));
        Map<MachineRecord, ResourceOffer> room = new LinkedHashMap<>();
        for (MachineRecord machine : mine.isEmpty() && !offering ? List.<MachineRecord>of() : own.get()) {
            if (constraints.freeCpus(machine, transaction) > 0) {
                room.put(machine, new ResourceOffer(machine.name(), machine.agentEpoch(), List.of()));
            }
        }
        for (PeerOffer each : foreign.values()) {
            MachineRecord machine = clusterState.machine(each.offer().machine());
            if (machine != null
                    && machine.isSchedulable()
                    && machine.agentEpoch() == each.offer().agentEpoch()
                    && now.isBefore(each.until())) {
                room.put(machine, each.offer());
            }
        }
        foreign.clear();
        room.keySet().removeIf(machine -> clusterState.cordonedMachines().contains(machine.name()));
        fillAll(transaction, room, mine, now);
        if (!offering) {
            // Offers of peers are passed on at once; their rate was decided where they began.
            room.values().removeIf(offer -> offer.askedPeers().isEmpty());
        } else {
            offeredAt = now;
        }
        return othersWait ? offers(transaction, room) : List.of();
    }

    private void fillAll(
            Transaction transaction, Map<MachineRecord, ResourceOffer> room, List<JobRecord> mine, Instant now) {
        if (mine.isEmpty()) {
            return;
        }
        // Turns by due time alone would let small jobs fill every gap for ever before a job of large tasks.
        List<JobRecord> stalled = mine.stream()
                .filter(job -> job.isStalledAt(transaction.timeOfDay()))
                .sorted(JobRecord.STALLED_ORDER)
                .toList();
        Set<String> held = beginOneByOne(transaction, room, stalled);
        List<JobRecord> others = mine.stream()
                .filter(job -> !ScavengerScheduler.isScavenger(job)
                        && !held.contains(job.request().team()))
                .toList();
        // A team within its guarantee need not wait for others: its jobs have their turns first.
        GuaranteedQuota guaranteedQuota = GuaranteedQuota.of(clusterState, quotas);
        Predicate<JobRecord> late = job -> deadlines.willMissDeadline(job, transaction.timeOfDay());
        fill(
                transaction,
                room.keySet(),
                others.stream()
                        .filter(late.negate().and(guaranteedQuota::covers))
                        .toList(),
                Integer.MAX_VALUE);
        fill(transaction, room.keySet(), others.stream().filter(late.negate()).toList(), Integer.MAX_VALUE);
        fill(transaction, room.keySet(), others, Integer.MAX_VALUE);
        fillIdle(transaction, room.keySet(), mine, now);
    }

    /** Idle work comes last, teams in equal turns as before, and only on room that is left over. */
    private void fillIdle(Transaction transaction, Collection<MachineRecord> room, List<JobRecord> mine, Instant now) {
        List<JobRecord> jobs =
                mine.stream().filter(ScavengerScheduler::isScavenger).toList();
        if (jobs.isEmpty() || room.isEmpty()) {
            return;
        }
        fill(
                transaction,
                room,
                jobs,
                Integer.MAX_VALUE,
                new Allowed(scavengerScheduler.availableCpus(transaction, now)));
    }

    /**
     * One task for each of these jobs, the largest first. Where the part of the limit does not do for one, the other
     * jobs of its team wait, or their small tasks would use it up again and again; these teams are returned.
     */
    private Set<String> beginOneByOne(
            Transaction transaction, Map<MachineRecord, ResourceOffer> room, List<JobRecord> stalled) {
        Set<String> held = new HashSet<>();
        if (stalled.isEmpty()) {
            return held;
        }
        // The leader keeps machines for such jobs, whoever commands them.
        List<MachineRecord> withGathered = new ArrayList<>(room.keySet());
        clusterState.cordonedMachines().stream()
                .map(clusterState::machine)
                .filter(m -> m != null && m.isSchedulable() && clusterState.isMember(m.controller()))
                .forEach(withGathered::add);
        for (JobRecord known : stalled) {
            if (held.contains(known.request().team())) {
                continue;
            }
            fill(transaction, withGathered, List.of(known), 1);
            JobRecord job = transaction.job(known.request().id());
            if (job != null && job.livePlacements().isEmpty() && quotas.remainingTasks(job, transaction) == 0) {
                QuotaPartition.Amount cap = transaction
                        .quotaPartition(StoreKeys.quotaPartitionOf(job))
                        .of(job.request().team());
                if (cap.cpus() >= job.request().cpus()
                        && cap.gpus() >= job.request().gpus()) {
                    held.add(job.request().team());
                }
            }
        }
        return held;
    }

    /** Starts tasks in equal turns of the teams until nothing more fits, at most so many of each job. */
    private void fill(Transaction transaction, Collection<MachineRecord> room, List<JobRecord> jobs, int mostEach) {
        fill(transaction, room, jobs, mostEach, new Allowed(Double.MAX_VALUE));
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
            Transaction transaction,
            Collection<MachineRecord> room,
            List<JobRecord> jobs,
            int mostEach,
            Allowed allowed) {
        Map<String, Deque<JobRecord>> waiting = new TreeMap<>();
        for (JobRecord known : jobs) {
            JobRecord job = transaction.job(known.request().id());
            if (job != null && job.waitingTasks() > 0) {
                waiting.computeIfAbsent(job.request().team(), t -> new ArrayDeque<>())
                        .add(job);
            }
        }
        waiting.keySet().stream().filter(team -> !turns.contains(team)).forEach(team -> turns.add(0, team));
        Map<String, PlacementAttempt> pulls = new LinkedHashMap<>();
        InfeasibleRequests infeasibleRequests = new InfeasibleRequests();
        boolean any = true;
        while (any) {
            any = false;
            for (String team : List.copyOf(turns)) {
                if (turn(transaction, room, waiting.get(team), pulls, infeasibleRequests, mostEach, allowed)) {
                    any = true;
                    turns.remove(team);
                    turns.add(team);
                }
            }
        }
    }

    /** One team's turn: one task of its first job that fits. */
    private boolean turn(
            Transaction transaction,
            Collection<MachineRecord> room,
            Deque<JobRecord> jobs,
            Map<String, PlacementAttempt> pulls,
            InfeasibleRequests infeasibleRequests,
            int mostEach,
            Allowed allowed) {
        while (jobs != null && !jobs.isEmpty()) {
            JobRecord job = jobs.peek();
            PlacementAttempt pull = pulls.computeIfAbsent(
                    job.request().id(),
                    id -> new PlacementAttempt(job, transaction, room, infeasibleRequests, mostEach));
            if (allowed.fits(job) && pull.placeOne()) {
                allowed.take(job);
                return true;
            }
            if (!pull.planned.isEmpty()) {
                transaction.place(pull.job, pull.planned);
            }
            jobs.poll();
        }
        return false;
    }

    private List<OutgoingOffers> offers(Transaction transaction, Map<MachineRecord, ResourceOffer> room) {
        Map<String, List<ResourceOffer>> byPeer = new TreeMap<>();
        room.forEach((machine, offer) -> {
            if (constraints.freeCpus(machine, transaction) < 1) {
                return;
            }
            List<String> asked = new ArrayList<>(offer.askedPeers());
            asked.add(self);
            List<String> peers = new ArrayList<>(clusterState.members().keySet());
            peers.removeAll(asked);
            if (!peers.isEmpty()) {
                List<ResourceOffer> list =
                        byPeer.computeIfAbsent(peers.get(random.nextInt(peers.size())), p -> new ArrayList<>());
                if (list.size() < ResourceOffer.MAX_PER_MESSAGE) {
                    list.add(new ResourceOffer(machine.name(), machine.agentEpoch(), asked));
                }
            }
        });
        List<OutgoingOffers> outgoing = new ArrayList<>();
        byPeer.forEach((peer, list) -> outgoing.add(new OutgoingOffers(peer, list)));
        return outgoing;
    }
}
