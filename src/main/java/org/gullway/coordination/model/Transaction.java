package org.gullway.coordination.model;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A compare-and-swap transaction in the making. The version of every key that it changes or depends on is a condition,
 * and so is the version of the controller's member key: a transaction that comes late, or from a controller whose
 * membership has ended, changes nothing.
 *
 * <p>A placement makes the job's version a condition, but not the machine's: a machine that is gone, or in a newer agent
 * epoch, never gets the start command, and the placement is removed again. Nor is the usage of the team a condition:
 * only the holder of a quota partition places on it, and it has one transaction in flight at a time.
 */
public final class Transaction {
    /**
     * Limits of one transaction of the state store.
     *
     * @param changes keys that it may write or remove
     * @param conditions keys whose versions it may compare
     * @param valueBytes size of one value
     */
    public record Limits(int changes, int conditions, int valueBytes) {
        /** Below the store's limit by as much as the last change may add. */
        static final int MAX_BYTES = 48 * 1024;

        private static final int CONDITIONS_PER_CHANGE = 4;
        /** A job that ends changes two keys. */
        private static final int MIN_CHANGES = 2;

        /** The limits that the state store sets. */
        public Limits(int changes, int valueBytes) {
            this(changes, CONDITIONS_PER_CHANGE * changes, valueBytes);
        }

        /** The same for a transaction of fewer changes. */
        public Limits withMaxChanges(int maxChanges) {
            return new Limits(Math.max(MIN_CHANGES, Math.min(changes, maxChanges)), conditions, valueBytes);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(Transaction.class);

    private final ClusterState clusterState;
    private final Limits limits;
    private final Instant timeOfDay;
    private final ChangeSet changeSet;
    private final UsageDelta usageDelta = new UsageDelta();

    public Transaction(ClusterState clusterState, Incarnation self, Limits limits, Instant timeOfDay) {
        this.clusterState = clusterState;
        this.limits = limits;
        this.timeOfDay = timeOfDay;
        this.changeSet = new ChangeSet(limits);
        changeSet.requireUnchanged(StoreKeys.member(self.node()));
    }

    /** The time of day that the changes of this transaction record. */
    public Instant timeOfDay() {
        return timeOfDay;
    }

    /** Whether there is nothing to commit. */
    public boolean isEmpty() {
        return changeSet.changes().isEmpty();
    }

    /** Keys with their new values; a null value removes the key. */
    public Map<String, StoreRecord> changes() {
        return changeSet.changes();
    }

    /** Keys whose versions must be unchanged. */
    public Set<String> conditions() {
        return changeSet.conditions();
    }

    /** Whether so many further changes, each with one condition besides its own, fit into this transaction. */
    public boolean hasCapacityFor(int more) {
        return changeSet.hasCapacityFor(more);
    }

    /** Makes the transaction depend on a key that it does not change. */
    public void requireUnchanged(String key) {
        changeSet.requireUnchanged(key);
    }

    /** Writes a record; its key must be unchanged. */
    public void put(String key, StoreRecord value) {
        changeSet.put(key, value);
    }

    /** Removes a key, which must be unchanged. */
    public void remove(String key) {
        changeSet.remove(key);
    }

    /** The job as this transaction leaves it, or null. */
    public JobRecord job(String id) {
        String key = StoreKeys.job(id);
        return changeSet.isChanged(key) ? (JobRecord) changeSet.valueOf(key) : clusterState.job(id);
    }

    /** Whether a change of the job still fits, given that it may end and so change two keys. */
    public boolean canPutJob(String id) {
        return hasCapacityFor(changeSet.isChanged(StoreKeys.job(id)) ? 1 : 2);
    }

    /**
     * Records the job; one that is over moves to where final states are kept.
     *
     * @throws IllegalStateException if this transaction has ended the job before, which must stay final
     */
    public void putJob(JobRecord job) {
        String id = job.request().id();
        if (changeSet.isRemoved(StoreKeys.job(id))) {
            throw new IllegalStateException("job " + id + " has ended in this transaction");
        }
        if (job.isFinished()) {
            remove(StoreKeys.job(id));
            put(StoreKeys.finalState(id), FinalState.of(job));
        } else {
            put(StoreKeys.job(id), job);
        }
    }

    /** The shard as this transaction leaves it, or null. */
    public MachineShard shard(String id) {
        String key = StoreKeys.shard(id);
        return changeSet.isChanged(key) ? (MachineShard) changeSet.valueOf(key) : clusterState.shard(id);
    }

    /** Records the shard; one without machines is removed. */
    public void putShard(MachineShard shard) {
        if (shard.machines().isEmpty()) {
            remove(StoreKeys.shard(shard.id()));
        } else {
            put(StoreKeys.shard(shard.id()), shard);
        }
    }

    /** The machine as this transaction leaves it, or null. */
    public MachineRecord machine(String name) {
        String id = clusterState.shardOf(name);
        MachineShard shard = id == null ? null : shard(id);
        return shard == null ? null : shard.machine(name);
    }

    /** Whether a change of this machine's record still fits. */
    public boolean canPutMachine(String name) {
        String id = clusterState.shardOf(name);
        return id != null && (changeSet.isChanged(StoreKeys.shard(id)) || hasCapacityFor(1));
    }

    /** Changes a machine that is on record. */
    public void putMachine(MachineRecord machine) {
        putShard(shard(clusterState.shardOf(machine.name())).with(machine));
    }

    /** Removes a machine that is on record. */
    public void removeMachine(String name) {
        putShard(shard(clusterState.shardOf(name)).without(name));
    }

    /** The fencing token as this transaction leaves it. */
    public long fencingToken() {
        StoreRecord planned = changeSet.valueOf(StoreKeys.FENCING_TOKEN);
        return planned == null ? clusterState.fencingToken() : ((FencingToken) planned).value();
    }

    /** Raises the fencing token, once for all that this transaction does. */
    public long nextFencingToken() {
        if (!changeSet.isChanged(StoreKeys.FENCING_TOKEN)) {
            put(StoreKeys.FENCING_TOKEN, new FencingToken(clusterState.fencingToken()).next());
        }
        return fencingToken();
    }

    /** Processors in use on a machine after this transaction. */
    public double cpusUsedOn(String machine) {
        return clusterState.usageOn(machine).cpus + usageDelta.onMachine(machine).cpus;
    }

    /** Memory in use on a machine after this transaction, in GB. */
    public double memoryUsedOn(String machine) {
        return clusterState.usageOn(machine).memoryGb + usageDelta.onMachine(machine).memoryGb;
    }

    /** GPUs in use on a machine after this transaction. */
    public double gpusUsedOn(String machine) {
        return clusterState.usageOn(machine).gpus + usageDelta.onMachine(machine).gpus;
    }

    /** The quota partition of this key as this transaction leaves it. */
    public QuotaPartition quotaPartition(String key) {
        StoreRecord planned = changeSet.valueOf(key);
        return planned != null
                ? (QuotaPartition) planned
                : clusterState.quotaPartitions().getOrDefault(key, QuotaPartition.EMPTY);
    }

    /** Processors that a team uses of a quota partition after this transaction. */
    public double quotaCpusUsed(String partition, String team) {
        return clusterState.quotaUsage(partition, team).cpus + usageDelta.ofQuota(partition, team).cpus;
    }

    /** GPUs that a team uses of a quota partition after this transaction. */
    public double quotaGpusUsed(String partition, String team) {
        return clusterState.quotaUsage(partition, team).gpus + usageDelta.ofQuota(partition, team).gpus;
    }

    /** How many more attempts of this job fit into this transaction and the job's record. */
    public int placeableTasks(JobRecord job) {
        boolean fits = changeSet.isChanged(StoreKeys.job(job.request().id())) || hasCapacityFor(1);
        return fits && changeSet.hasFreeBytes() ? job.remainingPlacements(limits.valueBytes()) : 0;
    }

    /** Counts the resources of one more task, whose placement is to be recorded in this transaction. */
    public void reserve(JobRecord job, MachineRecord machine) {
        usageDelta.addTask(job, machine.name());
    }

    /** Takes back a reservation for a task that is not placed after all. */
    public void unreserve(JobRecord job, MachineRecord machine) {
        usageDelta.removeTask(job, machine.name());
    }

    /** The job's tasks count for another quota partition from this transaction on. */
    public void moveQuotaUsage(JobRecord job, String toPartition) {
        usageDelta.moveQuota(job, toPartition);
    }

    /** Frees the resources and quota of an attempt that has certainly ended, although that is not on record yet. */
    public void releaseResources(JobRecord job, String machine) {
        usageDelta.removeTask(job, machine);
    }

    /** Places one task on each of these machines, on which resources were reserved before. */
    public void place(JobRecord job, List<MachineRecord> machines) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "placing tasks job={} job_class={} tasks={} attempt={} machines={}",
                    job.request().id(),
                    job.request().jobClass(),
                    machines.size(),
                    job.attemptCount() + 1,
                    machines.stream().map(MachineRecord::name).toList());
        }
        putJob(job.withPlacements(machines, timeOfDay));
    }
}
