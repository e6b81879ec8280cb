package org.gullway.coordination.model;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Builds a compare-and-swap transaction. Its conditions are the versions of all keys that it changes or depends on, and
 * the version of this controller's member key. The store rejects the whole transaction if one of these keys has changed
 * meanwhile, or if the controller's membership has ended.
 *
 * <p>A placement makes the version of the job's record a condition, but not that of the machine's record: if the
 * machine is removed or enters a newer agent epoch, the start command is never sent and the placement is removed. The
 * team's usage is no condition either: only the holder of a quota partition places tasks against it, and the holder has
 * at most one transaction in flight.
 */
public final class Transaction {
    private static final Logger LOG = LoggerFactory.getLogger(Transaction.class);

    private final ClusterState clusterState;
    private final TransactionLimits limits;
    private final Instant wallClockTime;
    private final ChangeSet changeSet;
    private final RecordCapacity recordCapacity;
    private final UsageDelta usageDelta = new UsageDelta();

    public Transaction(ClusterState clusterState, Incarnation self, TransactionLimits limits, Instant wallClockTime) {
        this.clusterState = clusterState;
        this.limits = limits;
        this.wallClockTime = wallClockTime;
        this.changeSet = new ChangeSet(limits);
        this.recordCapacity = new RecordCapacity(clusterState, limits.valueBytes(), () -> wallClockTime);
        changeSet.requireUnchanged(StoreKeys.member(self.node()));
    }

    /**
     * The wall-clock time of this transaction, which is written into its records. It is not comparable with the
     * monotonic times that planning steps get from their context.
     */
    public Instant wallClockTime() {
        return wallClockTime;
    }

    /** Whether the transaction contains no changes. */
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

    /** Whether this many further changes fit, each with one condition besides that on the changed key. */
    public boolean hasCapacityFor(int furtherChanges) {
        return changeSet.hasCapacityFor(furtherChanges);
    }

    /** Adds the condition that a key is unchanged, for a key that the transaction depends on. */
    public void requireUnchanged(String key) {
        changeSet.requireUnchanged(key);
    }

    /** Writes a record, on the condition that its key is unchanged. */
    public void put(String key, StoreRecord value) {
        changeSet.put(key, value);
    }

    /** Removes a key, on the condition that it is unchanged. */
    public void remove(String key) {
        changeSet.remove(key);
    }

    /** The job as this transaction leaves it, or null if it has no record. */
    public JobRecord job(String id) {
        String key = StoreKeys.job(id);
        return changeSet.isChanged(key) ? (JobRecord) changeSet.valueOf(key) : clusterState.job(id);
    }

    /** Whether a change of the job still fits, even if the job ends and so changes two keys. */
    public boolean canPutJob(String id) {
        return hasCapacityFor(changeSet.isChanged(StoreKeys.job(id)) ? 1 : 2);
    }

    /**
     * Writes the job's record; if the job is finished, removes the record and writes the final state instead. If a job
     * with completed tasks is cancelled and finished at once, the record is written first, so that every controller
     * sees the cancellation; {@code Reconciliation} then puts the job again.
     *
     * @throws IllegalStateException if this transaction already removes the record: a final state never changes
     */
    public void putJob(JobRecord job) {
        String id = job.request().id();
        if (changeSet.isRemoved(StoreKeys.job(id))) {
            throw new IllegalStateException("cannot write job " + id + ": this transaction already removes its record");
        }
        if (job.isFinished() && !isUnseenCancellation(job)) {
            remove(StoreKeys.job(id));
            put(StoreKeys.finalState(id), FinalState.of(job));
        } else {
            put(StoreKeys.job(id), job);
        }
    }

    private boolean isUnseenCancellation(JobRecord job) {
        JobRecord known = clusterState.job(job.request().id());
        return job.isCancelled() && job.completedTasks().size() > 0 && (known == null || !known.isCancelled());
    }

    /** The shard as this transaction leaves it, or null if it does not exist. */
    public MachineShard shard(String id) {
        String key = StoreKeys.shard(id);
        return changeSet.isChanged(key) ? (MachineShard) changeSet.valueOf(key) : clusterState.shard(id);
    }

    /** Writes the shard, or removes it if it contains no machines. */
    public void putShard(MachineShard shard) {
        if (shard.machines().isEmpty()) {
            remove(StoreKeys.shard(shard.id()));
        } else {
            put(StoreKeys.shard(shard.id()), shard);
        }
    }

    /** The machine as this transaction leaves it, or null if no shard contains it. */
    public MachineRecord machine(String name) {
        String id = clusterState.shardOf(name);
        MachineShard shard = id == null ? null : shard(id);
        return shard == null ? null : shard.machine(name);
    }

    /** Whether a shard contains the machine and a change of its record still fits. */
    public boolean canPutMachine(String name) {
        String id = clusterState.shardOf(name);
        if (id == null) {
            return false;
        }
        return changeSet.isChanged(StoreKeys.shard(id))
                ? changeSet.freeBytes(0) >= MachineRecord.MAX_ENCODED_BYTES
                : hasCapacityFor(1);
    }

    /** Replaces the record of a machine that a shard contains. */
    public void putMachine(MachineRecord machine) {
        putShard(shard(clusterState.shardOf(machine.name())).with(machine));
    }

    /** Removes a machine from the shard that contains it. */
    public void removeMachine(String name) {
        putShard(shard(clusterState.shardOf(name)).without(name));
    }

    /** The fencing token as this transaction leaves it. */
    public FencingToken fencingToken() {
        StoreRecord planned = changeSet.valueOf(StoreKeys.FENCING_TOKEN);
        return planned == null ? new FencingToken(clusterState.fencingToken()) : (FencingToken) planned;
    }

    /** Raises the fencing token, at most once per transaction, and returns the raised token. */
    public FencingToken nextFencingToken() {
        if (!changeSet.isChanged(StoreKeys.FENCING_TOKEN)) {
            put(StoreKeys.FENCING_TOKEN, new FencingToken(clusterState.fencingToken()).next());
        }
        return fencingToken();
    }

    /** Resources in use on a machine after this transaction, for reading only. */
    public ResourceUsage usageOn(String machine) {
        return clusterState.usageOn(machine).plus(usageDelta.onMachine(machine));
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

    /** Maximum size of one value. */
    public int maxValueBytes() {
        return limits.valueBytes();
    }

    /**
     * Whether changes of these jobs fit that make no record larger than {@link StoreRecord#maxEncodedBytes} of the
     * present one, such as marks on placements that are to be stopped.
     */
    public boolean canPutJobs(Collection<JobRecord> changedJobs) {
        int furtherChanges = 0;
        int furtherBytes = 0;
        for (JobRecord job : changedJobs) {
            if (!changeSet.isChanged(StoreKeys.job(job.request().id()))) {
                furtherChanges++;
                furtherBytes += job.maxEncodedBytes();
            }
        }
        return changeSet.hasKeysFor(furtherChanges) && changeSet.freeBytes(furtherChanges) >= furtherBytes;
    }

    /** The number of further attempts of this job that fit into this transaction and into the job's record. */
    public int placeableTasks(JobRecord job) {
        int recordBytes = job.maxEncodedBytes();
        int freeBytes =
                changeSet.freeBytesForGrowthOf(StoreKeys.job(job.request().id()), recordBytes);
        int bytesForPlacements = Math.min(freeBytes, limits.valueBytes() - recordBytes);
        return Math.max(0, bytesForPlacements / recordCapacity.maxPlacementBytes(job));
    }

    /** Whether this transaction, which changes the job's record, has room for one more of its placements. */
    public boolean hasRoomForPlacement(JobRecord job) {
        return changeSet.freeBytes(0) >= recordCapacity.maxPlacementBytes(job);
    }

    /** The rule for how many tasks of a job its record can list, at the time of this transaction. */
    public RecordCapacity recordCapacity() {
        return recordCapacity;
    }

    /** Reserves resources, quota and space in this transaction for one task that it is about to place on a machine. */
    public void reserve(JobRecord job, MachineRecord machine) {
        usageDelta.addTask(job, machine.name());
        changeSet.reserveBytes(recordCapacity.maxPlacementBytes(job));
    }

    /** Cancels a reservation for a task that is not placed after all. */
    public void unreserve(JobRecord job, MachineRecord machine) {
        usageDelta.removeTask(job, machine.name());
        changeSet.reserveBytes(-recordCapacity.maxPlacementBytes(job));
    }

    /** Charges the job's placed tasks to another quota partition from this transaction on. */
    public void moveQuotaUsage(JobRecord job, String toPartition) {
        usageDelta.moveQuota(job, toPartition);
    }

    /** Frees the resources and quota of an attempt that has ended but whose placement is still in the job's record. */
    public void releaseResources(JobRecord job, String machine) {
        usageDelta.removeTask(job, machine);
    }

    /** Places one task on each of these machines; the caller has reserved the resources. */
    public void place(JobRecord job, List<MachineRecord> machines) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "placing tasks; attempt is the lowest new attempt number"
                            + " job={} job_class={} tasks={} attempt={} machines={}",
                    job.request().id(),
                    job.request().jobClass(),
                    machines.size(),
                    job.attemptCount().next(),
                    machines.stream().map(MachineRecord::name).toList());
        }
        changeSet.reserveBytes(-machines.size() * recordCapacity.maxPlacementBytes(job));
        putJob(job.withPlacements(machines, wallClockTime));
    }
}
