package org.gullway.coordination.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Settings;

/**
 * Keeps the shares that this controller holds as large as its jobs need. A team's limit is dealt out to the leader
 * (for what it books) and to the owners of best-effort jobs; only the holder of a share raises or lowers it, except
 * that the leader moves on what a lost member held.
 *
 * <p>Raising guards all other shares, so that their sum never exceeds a limit. Everybody sees all jobs, so everybody
 * knows what the others need, and gives up what they need more.
 */
public final class QuotaPartitioner implements PlanningStep {
    /** A raise takes up to so much of the limit beyond the need, as far as nobody else needs it: so few are needed. */
    private static final double LEAST_RAISE = 0.1;
    /** Lowering by less is not worth a change of the store. */
    private static final double LEAST_LOWERING = 0.02;

    private static final Duration LOWERING_PAUSE = Duration.ofSeconds(2);
    /** Who could not use its part for so long gives it to the others, and asks again after as long. */
    private static final Duration LONGEST_UNUSED = Duration.ofSeconds(3);
    /** Urgent tasks wait for this, so it is done fast where changes are plentiful (senderos-altos steady, seed 903). */
    private static final Duration QUICK_LOWERING_PAUSE = Duration.ofMillis(50);

    private static final double EPSILON = 1e-6;

    private final ClusterState clusterState;
    private final TeamQuotas quotas;
    private final String own;
    private final Set<String> possible = new TreeSet<>();
    /** For each share that exists or may come into being, all others. */
    private final Map<String, List<String>> othersByShare = new TreeMap<>();

    private Instant loweredAt = Instant.MIN;
    /** By share, team and dimension: what is known of a part that lies unused while others are short. */
    private final Map<String, Unused> unused = new HashMap<>();

    /** @param until before that the share is not raised again */
    private record Unused(double used, Instant since, Instant until) {}

    /** @param nodes all controllers of the deployment, this one included */
    public QuotaPartitioner(ClusterState clusterState, TeamQuotas quotas, String self, Collection<String> nodes) {
        this.clusterState = clusterState;
        this.quotas = quotas;
        this.own = StoreKeys.quotaPartition(self);
        possible.add(StoreKeys.LEADER_QUOTA);
        nodes.forEach(node -> possible.add(StoreKeys.quotaPartition(node)));
    }

    /** Adjusts the shares held here: this node's, and the leader's while leading. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        findShares();
        Map<String, Map<String, double[]>> needs = needs(transaction.timeOfDay());
        List<String> held = context.leader() ? List.of(StoreKeys.LEADER_QUOTA, own) : List.of(own);
        boolean mayLower = !loweredAt
                .plus(context.hasSurplusChanges() ? QUICK_LOWERING_PAUSE : LOWERING_PAUSE)
                .isAfter(now);
        for (String share : held) {
            QuotaPartition before = transaction.quotaPartition(share);
            QuotaPartition after = before;
            for (Settings.Team team : quotas.teams()) {
                after = adjust(transaction, share, after, team, needs, mayLower, now);
            }
            if (!after.equals(before) && transaction.hasCapacityFor(1)) {
                transaction.put(share, after);
                others(share).forEach(transaction::requireUnchanged);
                if (mayLower) {
                    loweredAt = now;
                }
            }
        }
    }

    /** Also shares that were never written are guarded: their holders may be about to write them. */
    private void findShares() {
        Set<String> keys = new TreeSet<>(possible);
        keys.addAll(clusterState.quotaPartitions().keySet());
        if (!keys.equals(othersByShare.keySet())) {
            othersByShare.clear();
            for (String share : keys) {
                List<String> others = new ArrayList<>(keys);
                others.remove(share);
                othersByShare.put(share, others);
            }
        }
    }

    private List<String> others(String share) {
        return othersByShare.get(share);
    }

    /**
     * Processors and cards that the unfinished jobs of each share and team could use, then the same of their least task, and
     * of the largest that waits to begin.
     */
    private Map<String, Map<String, double[]>> needs(Instant timeOfDay) {
        Map<String, Map<String, double[]>> needs = new TreeMap<>();
        for (JobRecord job : clusterState.jobs()) {
            double[] need = needs.computeIfAbsent(StoreKeys.quotaPartitionOf(job), s -> new HashMap<>())
                    .computeIfAbsent(job.request().team(), t -> new double[6]);
            need[0] += job.unfinishedTasks() * job.request().cpus();
            need[1] += job.unfinishedTasks() * job.request().gpus();
            if (job.waitingTasks() > 0) {
                need[2] = need[2] == 0
                        ? job.request().cpus()
                        : Math.min(need[2], job.request().cpus());
                if (job.isStalledAt(timeOfDay)) {
                    need[4] = Math.max(need[4], job.request().cpus());
                    need[5] = Math.max(need[5], job.request().gpus());
                }
                need[3] = need[3] == 0
                        ? job.request().gpus()
                        : Math.min(need[3], job.request().gpus());
            }
        }
        return needs;
    }

    private QuotaPartition adjust(
            Transaction transaction,
            String share,
            QuotaPartition record,
            Settings.Team team,
            Map<String, Map<String, double[]>> needs,
            boolean mayLower,
            Instant now) {
        QuotaPartition.Amount cap = record.of(team.name());
        double cpus = wanted(transaction, share, team, needs, 0, mayLower, now);
        double cards = wanted(transaction, share, team, needs, 1, mayLower, now);
        return cpus == cap.cpus() && cards == cap.gpus()
                ? record
                : record.with(team.name(), new QuotaPartition.Amount(cpus, cards));
    }

    private double wanted(
            Transaction transaction,
            String share,
            Settings.Team team,
            Map<String, Map<String, double[]>> needs,
            int dimension,
            boolean mayLower,
            Instant now) {
        double limit = dimension == 0 ? team.cpusLimit() : team.gpusLimit();
        double cap = part(transaction.quotaPartition(share), team.name(), dimension);
        double need = need(needs, share, team.name(), dimension);
        double sum = cap;
        double missing = 0;
        double othersNeed = 0;
        for (String other : others(share)) {
            double otherCap = part(transaction.quotaPartition(other), team.name(), dimension);
            double otherNeed = need(needs, other, team.name(), dimension);
            sum += otherCap;
            missing += Math.max(0, otherNeed - otherCap);
            othersNeed += otherNeed;
        }
        double free = Math.max(0, limit - sum);
        double used = dimension == 0
                ? transaction.quotaCpusUsed(share, team.name())
                : transaction.quotaGpusUsed(share, team.name());
        boolean othersShort = missing > free;
        // A large task that waits to begin gathers what ends until there is enough for it.
        double largest = need(needs, share, team.name(), 4 + dimension);
        boolean gathers = largest > 0 && cap >= largest && cap - used < largest;
        Unused lying = trackUnused(
                share + '\n' + team.name() + '\n' + dimension, used, othersShort && cap > used && !gathers, now);
        if (need > cap && !now.isBefore(lying.until())) {
            double spare = Math.max(0, free - missing - (need - cap));
            double raise = Math.min(free, need - cap + Math.min(limit * LEAST_RAISE, spare / 2));
            if (raise > 1e-6 && cap + raise - used >= need(needs, share, team.name(), 2 + dimension) - 1e-6) {
                return cap + raise;
            }
        }
        if (!othersShort || !mayLower) {
            return cap;
        }
        if (now.isBefore(lying.until())) {
            return Math.min(cap, used);
        }
        // Others are short: what this share does not need, or has beyond its part of a limit that all press, goes.
        double target = need + othersNeed > limit ? part(share, team.name(), limit, needs, dimension) : need;
        double lowered = Math.max(used, Math.min(cap, Math.max(target, largest)));
        return cap - lowered > limit * LEAST_LOWERING || lowered == 0 && cap > 0 ? lowered : cap;
    }

    /**
     * Once, two queues held 7.2 and 16.8 of 24 processors, one too little for its task of 8, the other without a
     * machine for its own, and both waited for ever (generated day 1099511627775).
     */
    private Unused trackUnused(String key, double used, boolean lies, Instant now) {
        Unused before = unused.get(key);
        if (before != null && now.isBefore(before.until())) {
            return before;
        }
        Unused next;
        if (!lies || before == null || before.used() != used) {
            next = new Unused(used, now, Instant.MIN);
        } else if (before.since().plus(LONGEST_UNUSED).isAfter(now)) {
            next = before;
        } else {
            next = new Unused(used, now, now.plus(LONGEST_UNUSED));
        }
        unused.put(key, next);
        return next;
    }

    /**
     * A share's part of a limit that all press: the leader's need goes first, the queues divide the rest by their
     * needs, but none that waits to begin a large task gets less than that task.
     */
    private double part(
            String share, String team, double limit, Map<String, Map<String, double[]>> needs, int dimension) {
        double leaders = Math.min(limit, need(needs, StoreKeys.LEADER_QUOTA, team, dimension));
        if (share.equals(StoreKeys.LEADER_QUOTA)) {
            return leaders;
        }
        List<String> queues = new ArrayList<>(others(share));
        queues.add(share);
        queues.remove(StoreKeys.LEADER_QUOTA);
        double rest = limit - leaders;
        double all = Math.max(
                1e-9,
                queues.stream()
                        .mapToDouble(q -> need(needs, q, team, dimension))
                        .sum());
        double fixed = 0;
        double others = 0;
        for (String queue : queues) {
            double largest = need(needs, queue, team, 4 + dimension);
            double need = need(needs, queue, team, dimension);
            boolean large = largest > rest * need / all;
            if (queue.equals(share) && large) {
                return largest;
            }
            fixed += large ? largest : 0;
            others += large ? 0 : need;
        }
        return Math.max(0, rest - fixed) * need(needs, share, team, dimension) / Math.max(1e-9, others);
    }

    private static double part(QuotaPartition record, String team, int dimension) {
        QuotaPartition.Amount amount = record.of(team);
        return dimension == 0 ? amount.cpus() : amount.gpus();
    }

    private static double need(Map<String, Map<String, double[]>> needs, String share, String team, int dimension) {
        double[] need = needs.getOrDefault(share, Map.of()).get(team);
        return need == null ? 0 : need[dimension];
    }

    /**
     * Gives a job to another member, together with the part of the limit that its tasks use; what the lost member
     * held beyond the use of its jobs is free again. Its own placements are ruled out by its missing member key.
     *
     * <p>Ends that are not on record yet let a holder place more than its share shows. Which of its jobs the ended tasks
     * belong to is not known here, so then no division of the share would surely cover what each new owner takes over
     * (two new owners together once went beyond a team's limit): the job waits until the ends are on record.
     */
    public static void transferJob(Transaction transaction, ClusterState clusterState, JobRecord job, String to) {
        String from = StoreKeys.quotaPartition(job.owner());
        String team = job.request().team();
        QuotaPartition.Amount held = transaction.quotaPartition(from).of(team);
        double cpusOnRecord = 0;
        double cardsOnRecord = 0;
        for (JobRecord known : clusterState.jobs()) {
            JobRecord other = transaction.job(known.request().id());
            if (other != null
                    && job.owner().equals(other.owner())
                    && other.request().team().equals(team)) {
                cpusOnRecord += other.livePlacements().size() * other.request().cpus();
                cardsOnRecord += other.livePlacements().size() * other.request().gpus();
            }
        }
        if (cpusOnRecord > held.cpus() + EPSILON || cardsOnRecord > held.gpus() + EPSILON) {
            return;
        }
        double cpus = job.livePlacements().size() * job.request().cpus();
        double cards = job.livePlacements().size() * job.request().gpus();
        transaction.requireUnchanged(StoreKeys.member(job.owner()));
        if (cpus > 0 || cards > 0) {
            transaction.put(from, transaction.quotaPartition(from).with(team, held.plus(-cpus, -cards)));
            transaction.put(
                    StoreKeys.quotaPartition(to),
                    transaction
                            .quotaPartition(StoreKeys.quotaPartition(to))
                            .with(
                                    team,
                                    transaction
                                            .quotaPartition(StoreKeys.quotaPartition(to))
                                            .of(team)
                                            .plus(cpus, cards)));
        }
        transaction.moveQuotaUsage(job, StoreKeys.quotaPartition(to));
        transaction.putJob(job.withOwner(to));
    }

    /** Frees what lost members hold beyond the use of the jobs they still own. */
    public static void releaseLostMembers(Transaction transaction, ClusterState clusterState, TeamQuotas quotas) {
        for (String key : clusterState.quotaPartitions().keySet()) {
            String node = StoreKeys.quotaHolder(key);
            if (node == null
                    || clusterState.members().containsKey(node)
                    || transaction.changes().containsKey(key)
                    || !transaction.hasCapacityFor(2)) {
                continue;
            }
            QuotaPartition share = clusterState.quotaPartitions().get(key);
            QuotaPartition used = QuotaPartition.EMPTY;
            for (Settings.Team team : quotas.teams()) {
                ClusterState.ResourceUsage room = clusterState.quotaUsage(key, team.name());
                QuotaPartition.Amount held = share.of(team.name());
                used = used.with(
                        team.name(),
                        new QuotaPartition.Amount(Math.min(held.cpus(), room.cpus), Math.min(held.gpus(), room.gpus)));
            }
            boolean less = share.amountByTeam().entrySet().stream()
                    .anyMatch(e -> e.getValue().cpus() > clusterState.quotaUsage(key, e.getKey()).cpus + 1e-6
                            || e.getValue().gpus() > clusterState.quotaUsage(key, e.getKey()).gpus + 1e-6);
            if (less) {
                transaction.requireUnchanged(StoreKeys.member(node));
                transaction.put(key, used);
            }
        }
    }
}
