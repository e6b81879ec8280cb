package org.gullway.coordination.model;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gullway.protocol.Count;

/**
 * This controller's in-memory replica of the watched part of the state store: the records of all watched keys, the key
 * versions that transactions compare against, and indexes derived from the records.
 */
public final class ClusterState {
    /** Names of machines whose records or placements changed after the last {@link #takeChangedMachines}. */
    private final Set<String> changedMachines = new HashSet<>();

    private final KeyVersions versions = new KeyVersions();
    private final MachineIndex machineIndex = new MachineIndex(changedMachines);
    private final PlacementIndex placementIndex = new PlacementIndex(changedMachines);
    private final Map<String, JobRecord> jobs = new TreeMap<>();
    /** Ids of jobs to check for lost placements: the record changed, or a machine is gone or in a new agent epoch. */
    private final Set<String> uncheckedJobs = new HashSet<>();

    private final EndedJobs endedJobs = new EndedJobs();

    private final Map<String, QuotaPartition> quotaPartitions = new TreeMap<>();
    private final MemberIndex members = new MemberIndex();
    private long shardAndMemberChangeCount;
    private Incarnation leader;
    private Count fencingToken = Count.ZERO;
    private Set<String> cordonedMachines = Set.of();

    /** Discards all records before a full read of the store; the set of cancelled jobs is kept. */
    public void clear() {
        versions.clear();
        machineIndex.clear();
        placementIndex.clear();
        endedJobs.beforeFullRead(jobs.keySet());
        jobs.clear();
        uncheckedJobs.clear();
        quotaPartitions.clear();
        members.clear();
        shardAndMemberChangeCount++;
        leader = null;
        fencingToken = Count.ZERO;
        cordonedMachines = Set.of();
    }

    /** Stores a value at a version; returns false and changes nothing if the version is outdated. */
    public boolean put(String key, StoreRecord value, Count version) {
        if (!versions.acceptPut(key, version)) {
            return false;
        }
        if (value instanceof JobRecord job) {
            replaceJob(job.request().id(), job);
        } else if (value instanceof MachineShard shard) {
            replaceShard(shard.id(), shard, version);
        } else if (value instanceof QuotaPartition partition) {
            quotaPartitions.put(key, partition);
        } else if (value instanceof Incarnation incarnation) {
            putIncarnation(key, incarnation, version);
        } else if (value instanceof FencingToken token) {
            fencingToken = token.value();
        } else if (value instanceof CordonedMachines cordoned) {
            cordonedMachines = cordoned.names();
        }
        return true;
    }

    private void putIncarnation(String key, Incarnation incarnation, Count version) {
        if (key.equals(StoreKeys.LEADER)) {
            leader = incarnation;
            return;
        }
        shardAndMemberChangeCount++;
        members.put(key.substring(StoreKeys.MEMBERS.length()), incarnation, version);
    }

    /** Removes a key as of a revision; returns false and changes nothing if the removal is outdated. */
    public boolean remove(String key, Count revision) {
        if (!versions.acceptRemoval(key, revision)) {
            return false;
        }
        if (key.startsWith(StoreKeys.JOBS)) {
            replaceJob(key.substring(StoreKeys.JOBS.length()), null);
        } else if (key.startsWith(StoreKeys.SHARDS)) {
            replaceShard(key.substring(StoreKeys.SHARDS.length()), null, revision);
        } else if (key.startsWith(StoreKeys.QUOTA_PARTITIONS)) {
            quotaPartitions.remove(key);
        } else if (key.startsWith(StoreKeys.MEMBERS)) {
            shardAndMemberChangeCount++;
            members.remove(key.substring(StoreKeys.MEMBERS.length()), revision);
        } else if (key.equals(StoreKeys.LEADER)) {
            leader = null;
        } else if (key.equals(StoreKeys.CORDONED)) {
            cordonedMachines = Set.of();
        }
        return true;
    }

    /** Applies the changes of a transaction, committed at a revision, to the watched keys. */
    public void apply(Map<String, StoreRecord> changes, Count revision) {
        changes.forEach((key, value) -> {
            if (value == null) {
                remove(key, revision);
            } else if (key.startsWith(StoreKeys.LIVE)) {
                put(key, value, revision);
            }
        });
    }

    private void replaceShard(String id, MachineShard next, Count version) {
        shardAndMemberChangeCount++;
        MachineShard previous = machineIndex.replace(id, next, version);
        if (previous != null) {
            for (MachineRecord machine : previous.machines()) {
                onMachineReplaced(machine);
            }
        }
    }

    /** Marks the jobs of a machine for a check if it has been removed or has entered a later agent epoch. */
    private void onMachineReplaced(MachineRecord previous) {
        MachineRecord current = machineIndex.machine(previous.name());
        if (current == null) {
            placementIndex.forgetImages(previous.name());
        }
        if (current == null || current.agentEpoch().isGreaterThan(previous.agentEpoch())) {
            for (AttemptId attempt : placementsOn(previous.name()).keySet()) {
                uncheckedJobs.add(attempt.task().job());
            }
        }
    }

    private void replaceJob(String id, JobRecord next) {
        JobRecord previous = next == null ? jobs.remove(id) : jobs.put(id, next);
        if (next == null) {
            uncheckedJobs.remove(id);
        } else {
            uncheckedJobs.add(id);
            endedJobs.onRecord(next);
        }
        placementIndex.replace(previous, next);
    }

    /** Returns and clears the names of machines whose records or placements changed after the last call. */
    public Set<String> takeChangedMachines() {
        Set<String> taken = new HashSet<>(changedMachines);
        changedMachines.clear();
        return taken;
    }

    /** Records a full read as of this revision, and that a member may have been lost unseen before it. */
    public void onFullRead(Count revision) {
        members.recordLoss(revision);
        endedJobs.afterFullRead(jobs.keySet());
        advanceTo(revision);
    }

    /** Whether the fencing token was raised after the last loss of a member. */
    public boolean isFencingTokenNewerThanLastLoss() {
        return version(StoreKeys.FENCING_TOKEN).isGreaterThan(members.lastLossRevision());
    }

    /** Version of the key; 0 if it does not exist. */
    public Count version(String key) {
        return versions.versionOf(key);
    }

    /** All jobs that have not ended, in ascending order of id. */
    public Collection<JobRecord> jobs() {
        return jobs.values();
    }

    /** The job's record, or null if the job has ended or is unknown. */
    public JobRecord job(String id) {
        return jobs.get(id);
    }

    /** Whether the job may have a placement on a removed machine, or in a former agent epoch of its machine. */
    public boolean hasUncheckedPlacements(String job) {
        return uncheckedJobs.contains(job);
    }

    /** Records that all placements of the job are on existing machines, in their current agent epochs. */
    public void markPlacementsChecked(String job) {
        uncheckedJobs.remove(job);
    }

    /** Whether the job is known to be cancelled, even if its record has been removed since. */
    public boolean isCancelled(String job) {
        return endedJobs.isCancelled(job);
    }

    /** Whether a job with a completed task is done: it has no record, and its cancellation would have been seen. */
    public boolean isKnownDone(String job) {
        return !jobs.containsKey(job) && !endedJobs.mayBeCancelled(job);
    }

    /** All machines of all shards. */
    public Collection<MachineRecord> machines() {
        return machineIndex.machines();
    }

    /** The machine, or null if no shard contains it. */
    public MachineRecord machine(String name) {
        return machineIndex.machine(name);
    }

    /** The sizes of the longest fields of machines that placements contain. */
    LongestMachineFields longestMachineFields() {
        return machineIndex.longestFields();
    }

    /** All shards, in ascending order of id. */
    public Collection<MachineShard> shards() {
        return machineIndex.shards();
    }

    /** The shard, or null if it does not exist. */
    public MachineShard shard(String id) {
        return machineIndex.shard(id);
    }

    /** Id of the shard that contains the machine, or null. */
    public String shardOf(String machine) {
        return machineIndex.shardOf(machine);
    }

    /** Version of the shard record that contains the machine; 0 if there is none. */
    public Count machineVersion(String machine) {
        return machineIndex.versionOf(machine);
    }

    /** All quota partitions, by store key. */
    public Map<String, QuotaPartition> quotaPartitions() {
        return quotaPartitions;
    }

    /** The current incarnation of each member, by member name. */
    public Map<String, Incarnation> members() {
        return members.byName();
    }

    /** A counter that increases with every change of a shard or member; for comparison with an earlier value. */
    public long shardAndMemberChangeCount() {
        return shardAndMemberChangeCount;
    }

    /** Whether this incarnation of a controller holds a member key; false for null. */
    public boolean isMember(Incarnation incarnation) {
        return members.contains(incarnation);
    }

    /** The leader's incarnation, or null if there is no leader. */
    public Incarnation leader() {
        return leader;
    }

    /** The current fencing token; 0 before the first one is written. */
    public Count fencingToken() {
        return fencingToken;
    }

    /** Names of the machines that are cordoned, as described for {@link CordonedMachines}. */
    public Set<String> cordonedMachines() {
        return cordonedMachines;
    }

    /** Resources used by the placements on a machine. */
    public ResourceUsage usageOn(String machine) {
        return placementIndex.usageOn(machine);
    }

    /** Resources that a team's placed tasks use from one quota partition. */
    public ResourceUsage quotaUsage(String partition, String team) {
        return placementIndex.quotaUsage(partition, team);
    }

    /** Whether a task with the image is known to have been placed on the machine, which then probably has the image. */
    public boolean hasImage(String machine, String image) {
        return placementIndex.hasImage(machine, image);
    }

    /** Attempts that may be running on a machine, with their placements. */
    public Map<AttemptId, Placement> placementsOn(String machine) {
        return placementIndex.placementsOn(machine);
    }

    /** Records that the watch has delivered every change up to this revision. */
    public void advanceTo(Count revision) {
        versions.advanceTo(revision);
    }

    /** The revision up to which the watch has delivered every change. */
    public Count watchedRevision() {
        return versions.watchedRevision();
    }
}
