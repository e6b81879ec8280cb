package org.gullway.coordination.model;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState.ResourceUsage;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One commit in the making. Every key that it changes or relies on is guarded by the mark under which this
 * controller knows it, and the whole by the controller's membership, so that a commit that comes late, or from a
 * controller that has been given up, changes nothing.
 *
 * <p>A placement guards the job but not the machine: a machine that is gone, or in a newer session, never gets the
 * start, and the placement is taken back. It does not guard the use of the team either: only the holder of a share
 * places on it, and it has one commit on its way at a time.
 */
public final class Transaction {
    /** Limits of one commit of the state store. */
    public record Limits(int changes, int conditions, int valueBytes) {
        private static final int COMMIT_BYTES = 48 * 1024;

        /** The limits that the state service sets: four conditions for each change. */
        public Limits(int changes, int valueBytes) {
            this(changes, 4 * changes, valueBytes);
        }

        /** The same for a commit of fewer changes; two are the least that can end a job. */
        public Limits withMaxChanges(int fewer) {
            return new Limits(Math.max(2, Math.min(changes, fewer)), conditions, valueBytes);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(Transaction.class);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final Limits limits;
    private final Instant timeOfDay;
    private final Map<String, StoreRecord> changes = new LinkedHashMap<>();
    private final Set<String> conditions = new LinkedHashSet<>();
    private final Map<String, ResourceUsage> machineDelta = new HashMap<>();
    /** By share and team. */
    private final Map<String, ResourceUsage> quotaDelta = new HashMap<>();

    private int bytes;

    public Transaction(ClusterState clusterState, Incarnation self, Limits limits, Instant timeOfDay) {
        this.clusterState = clusterState;
        this.self = self;
        this.limits = limits;
        this.timeOfDay = timeOfDay;
        conditions.add(StoreKeys.member(self.node()));
    }

    public Instant timeOfDay() {
        return timeOfDay;
    }

    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Keys with their new values; a null value removes the key. */
    public Map<String, StoreRecord> changes() {
        return changes;
    }

    public Set<String> conditions() {
        return conditions;
    }

    /** Whether so many further changes, each with a further guard beside it, fit into this commit. */
    public boolean hasCapacityFor(int more) {
        return changes.size() + more <= limits.changes()
                && conditions.size() + 2 * more <= limits.conditions()
                && bytes < Limits.COMMIT_BYTES;
    }

    /** Makes the commit depend on a key that it does not change. */
    public void requireUnchanged(String key) {
        conditions.add(key);
    }

    public void put(String key, StoreRecord value) {
        conditions.add(key);
        bytes += size(value) - size(changes.get(key));
        changes.put(key, value);
    }

    private static int size(StoreRecord value) {
        return value == null ? 0 : value.maxEncodedBytes();
    }

    public void remove(String key) {
        conditions.add(key);
        bytes -= size(changes.get(key));
        changes.put(key, null);
    }

    /** The job as this commit leaves it, or null. */
    public JobRecord job(String id) {
        String key = StoreKeys.job(id);
        return changes.containsKey(key) ? (JobRecord) changes.get(key) : clusterState.job(id);
    }

    /** Whether a change of the job still fits, given that it may end and so change two keys. */
    public boolean canPutJob(String id) {
        return hasCapacityFor(changes.containsKey(StoreKeys.job(id)) ? 1 : 2);
    }

    /** Records the job; one that is over moves to where final states are kept. */
    public void putJob(JobRecord job) {
        String id = job.request().id();
        if (changes.containsKey(StoreKeys.job(id)) && changes.get(StoreKeys.job(id)) == null) {
            // It was once possible to record a job as ended and to keep it running in one commit.
            throw new IllegalStateException(id + " has ended in this commit");
        }
        if (job.isFinished()) {
            remove(StoreKeys.job(id));
            JobState state = job.state();
            put(
                    StoreKeys.finalState(id),
                    new FinalState(
                            state, job.request().tasks(), job.completedTasks().size()));
        } else {
            put(StoreKeys.job(id), job);
        }
    }

    public MachineShard shard(String id) {
        String key = StoreKeys.shard(id);
        return changes.containsKey(key) ? (MachineShard) changes.get(key) : clusterState.shard(id);
    }

    /** Records the group; one without machines is removed. */
    public void putShard(MachineShard shard) {
        if (shard.machines().isEmpty()) {
            remove(StoreKeys.shard(shard.id()));
        } else {
            put(StoreKeys.shard(shard.id()), shard);
        }
    }

    /** The machine as this commit leaves it, or null. */
    public MachineRecord machine(String name) {
        String id = clusterState.shardOf(name);
        MachineShard shard = id == null ? null : shard(id);
        if (shard != null) {
            for (MachineRecord machine : shard.machines()) {
                if (machine.name().equals(name)) {
                    return machine;
                }
            }
        }
        return null;
    }

    /** Whether a change of this machine's record still fits. */
    public boolean canPutMachine(String name) {
        String id = clusterState.shardOf(name);
        return id != null && (changes.containsKey(StoreKeys.shard(id)) || hasCapacityFor(1));
    }

    /** Changes a machine that is on record. */
    public void putMachine(MachineRecord machine) {
        putShard(shard(clusterState.shardOf(machine.name())).with(machine));
    }

    public void removeMachine(String name) {
        putShard(shard(clusterState.shardOf(name)).without(name));
    }

    public long fencingToken() {
        StoreRecord planned = changes.get(StoreKeys.FENCING_TOKEN);
        return planned == null ? clusterState.fencingToken() : ((FencingToken) planned).value();
    }

    /** Raises the epoch, once for all that this commit does. */
    public long nextFencingToken() {
        if (!changes.containsKey(StoreKeys.FENCING_TOKEN)) {
            put(StoreKeys.FENCING_TOKEN, new FencingToken(clusterState.fencingToken()).next());
        }
        return fencingToken();
    }

    public double cpusUsedOn(String machine) {
        return clusterState.usageOn(machine).cpus + deltaOf(machineDelta, machine).cpus;
    }

    public double memoryUsedOn(String machine) {
        return clusterState.usageOn(machine).memoryGb + deltaOf(machineDelta, machine).memoryGb;
    }

    public double gpusUsedOn(String machine) {
        return clusterState.usageOn(machine).gpus + deltaOf(machineDelta, machine).gpus;
    }

    /** A share as this commit leaves it. */
    public QuotaPartition quotaPartition(String key) {
        StoreRecord planned = changes.get(key);
        return planned != null
                ? (QuotaPartition) planned
                : clusterState.quotaPartitions().getOrDefault(key, QuotaPartition.EMPTY);
    }

    public double quotaCpusUsed(String share, String team) {
        return clusterState.quotaUsage(share, team).cpus + deltaOf(quotaDelta, share + '\n' + team).cpus;
    }

    public double quotaGpusUsed(String share, String team) {
        return clusterState.quotaUsage(share, team).gpus + deltaOf(quotaDelta, share + '\n' + team).gpus;
    }

    private static final ResourceUsage NO_DELTA = new ResourceUsage();

    private static ResourceUsage deltaOf(Map<String, ResourceUsage> extras, String name) {
        return extras.getOrDefault(name, NO_DELTA);
    }

    /** How many more attempts of this job fit into this commit and the job's record. */
    public int placeableTasks(JobRecord job) {
        String key = StoreKeys.job(job.request().id());
        if (!changes.containsKey(key) && !hasCapacityFor(1) || bytes >= Limits.COMMIT_BYTES) {
            return 0;
        }
        return job.remainingPlacements(limits.valueBytes());
    }

    /** Counts the room of one more task, whose placement is to be recorded in this commit. */
    public void reserve(JobRecord job, MachineRecord machine) {
        addDelta(machineDelta, machine.name(), job.request(), 1);
        addDelta(
                quotaDelta,
                StoreKeys.quotaPartitionOf(job) + '\n' + job.request().team(),
                job.request(),
                1);
    }

    /** Gives back what was taken for a task that is not placed after all. */
    public void unreserve(JobRecord job, MachineRecord machine) {
        addDelta(machineDelta, machine.name(), job.request(), -1);
        addDelta(
                quotaDelta,
                StoreKeys.quotaPartitionOf(job) + '\n' + job.request().team(),
                job.request(),
                -1);
    }

    /** The job's tasks count for another share from this commit on. */
    public void moveQuotaUsage(JobRecord job, String to) {
        for (int i = job.livePlacements().size(); i > 0; i--) {
            addDelta(
                    quotaDelta,
                    StoreKeys.quotaPartitionOf(job) + '\n' + job.request().team(),
                    job.request(),
                    -1);
            addDelta(quotaDelta, to + '\n' + job.request().team(), job.request(), 1);
        }
    }

    /** Room and share of an attempt that has certainly ended are free, although its end is not on record yet. */
    public void releaseResources(JobRecord job, String machine) {
        addDelta(machineDelta, machine, job.request(), -1);
        addDelta(
                quotaDelta,
                StoreKeys.quotaPartitionOf(job) + '\n' + job.request().team(),
                job.request(),
                -1);
    }

    private static void addDelta(Map<String, ResourceUsage> extras, String name, JobRequest request, int sign) {
        extras.computeIfAbsent(name, n -> new ResourceUsage()).change(request, sign);
    }

    /** Places one task on each of these machines, on which room was taken before. */
    public void place(JobRecord job, List<MachineRecord> machines) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "{} of {}: {} tasks from attempt {} on go to {}",
                    job.request().id(),
                    job.request().jobClass(),
                    machines.size(),
                    job.attemptCount() + 1,
                    machines.stream().map(MachineRecord::name).toList());
        }
        putJob(job.withPlacements(machines, timeOfDay));
    }
}
