package org.gullway.coordination.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * This controller's copy of the state store: the records of all watched keys, their versions for the conditions of
 * transactions, and the indexes that follow from the records.
 */
public final class ClusterState {
    /** Bounds the memory for jobs that ended long ago. */
    private static final int MAX_CANCELLED_JOBS = 10_000;

    /** Machines whose records or placements have changed since they were last drained. */
    private final Set<String> changedMachines = new HashSet<>();

    private final KeyVersions versions = new KeyVersions();
    private final MachineIndex machineIndex = new MachineIndex(changedMachines);
    private final PlacementIndex placementIndex = new PlacementIndex(changedMachines);
    private final Map<String, JobRecord> jobs = new TreeMap<>();
    /** Jobs of which a record or the machine of a placement has changed since their placements were last checked. */
    private final Set<String> uncheckedJobs = new HashSet<>();

    /** Jobs known to be cancelled, which they stay: also those whose records have ended or are being read again. */
    private final Set<String> cancelledJobs = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_CANCELLED_JOBS;
        }
    });

    private final Map<String, QuotaPartition> quotaPartitions = new TreeMap<>();
    private final MemberIndex members = new MemberIndex();
    private long shardsAndMembersVersion;
    private Incarnation leader;
    private long fencingToken;
    private Set<String> cordonedMachines = Set.of();

    /** Forgets all records, before the store is read again. */
    public void clear() {
        versions.clear();
        machineIndex.clear();
        placementIndex.clear();
        jobs.clear();
        uncheckedJobs.clear();
        quotaPartitions.clear();
        members.clear();
        shardsAndMembersVersion++;
        leader = null;
        fencingToken = 0;
        cordonedMachines = Set.of();
    }

    /** Takes a value with its version; false if that is no news, and nothing has changed. */
    public boolean put(String key, StoreRecord value, long version) {
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

    private void putIncarnation(String key, Incarnation incarnation, long version) {
        if (key.equals(StoreKeys.LEADER)) {
            leader = incarnation;
            return;
        }
        shardsAndMembersVersion++;
        members.put(key.substring(StoreKeys.MEMBERS.length()), incarnation, version);
    }

    /** Takes the removal of a key at a revision; false if that is no news, and nothing has changed. */
    public boolean remove(String key, long revision) {
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
            shardsAndMembersVersion++;
            members.remove(key.substring(StoreKeys.MEMBERS.length()), revision);
        } else if (key.equals(StoreKeys.LEADER)) {
            leader = null;
        } else if (key.equals(StoreKeys.CORDONED)) {
            cordonedMachines = Set.of();
        }
        return true;
    }

    /** Applies the changes of a transaction that was committed at a revision. */
    public void apply(Map<String, StoreRecord> changes, long revision) {
        changes.forEach((key, value) -> {
            if (value == null) {
                remove(key, revision);
            } else if (key.startsWith(StoreKeys.LIVE)) {
                put(key, value, revision);
            }
        });
    }

    private void replaceShard(String id, MachineShard next, long version) {
        shardsAndMembersVersion++;
        MachineShard previous = machineIndex.replace(id, next, version);
        if (previous != null) {
            for (MachineRecord machine : previous.machines()) {
                onMachineReplaced(machine);
            }
        }
    }

    /** Placements on a machine that is gone, or in a later agent epoch than before, have to be checked. */
    private void onMachineReplaced(MachineRecord previous) {
        MachineRecord present = machineIndex.machine(previous.name());
        if (present == null) {
            placementIndex.forgetImages(previous.name());
        }
        if (present == null || present.agentEpoch() > previous.agentEpoch()) {
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
        }
        placementIndex.replace(previous, next);
        if (next != null && next.isCancelled()) {
            cancelledJobs.add(id);
        }
    }

    /** Machines whose records or placements have changed since the last call. */
    public Set<String> takeChangedMachines() {
        Set<String> taken = new HashSet<>(changedMachines);
        changedMachines.clear();
        return taken;
    }

    /** The store was read as of this revision; a member may have been lost at any time before. */
    public void onFullRead(long revision) {
        members.lostAt(revision);
        advanceTo(revision);
    }

    /** Whether the fencing token has risen after the last loss of any member. */
    public boolean isFencingTokenNewerThanLastLoss() {
        return version(StoreKeys.FENCING_TOKEN) > members.lastLossRevision();
    }

    /** Version of the key; 0 if it does not exist. */
    public long version(String key) {
        return versions.versionOf(key);
    }

    /** All jobs that have not ended, in the order of their ids. */
    public Collection<JobRecord> jobs() {
        return jobs.values();
    }

    /** The job that has not ended, or null. */
    public JobRecord job(String id) {
        return jobs.get(id);
    }

    /** Whether a placement of the job may be on a machine that is gone, or in an earlier agent epoch. */
    public boolean hasUncheckedPlacements(String job) {
        return uncheckedJobs.contains(job);
    }

    /** All placements of the job's present record are on machines in their present agent epochs. */
    public void markPlacementsChecked(String job) {
        uncheckedJobs.remove(job);
    }

    /** Whether the job is known to be cancelled, even if its record has ended since. */
    public boolean isCancelled(String job) {
        return cancelledJobs.contains(job);
    }

    /** All machines of all shards. */
    public Collection<MachineRecord> machines() {
        return machineIndex.machines();
    }

    /** The machine, or null if it is not on record. */
    public MachineRecord machine(String name) {
        return machineIndex.machine(name);
    }

    /** All shards, in the order of their ids. */
    public Collection<MachineShard> shards() {
        return machineIndex.shards();
    }

    /** The shard, or null if it is not on record. */
    public MachineShard shard(String id) {
        return machineIndex.shard(id);
    }

    /** Id of the shard that the machine belongs to, or null. */
    public String shardOf(String machine) {
        return machineIndex.shardOf(machine);
    }

    /** Version of the record that holds the machine. */
    public long machineVersion(String machine) {
        return machineIndex.versionOf(machine);
    }

    /** All quota partitions by their keys. */
    public Map<String, QuotaPartition> quotaPartitions() {
        return quotaPartitions;
    }

    /** The present incarnation of each member by its name. */
    public Map<String, Incarnation> members() {
        return members.byName();
    }

    /** Rises with every change of a shard or a member. */
    public long shardsAndMembersVersion() {
        return shardsAndMembersVersion;
    }

    /** Whether this run of a controller holds a member key; false for null. */
    public boolean isMember(Incarnation incarnation) {
        return members.contains(incarnation);
    }

    /** The leader, or null if there is none. */
    public Incarnation leader() {
        return leader;
    }

    /** The present fencing token; 0 before the first. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Machines on which no best-effort task starts while reserved work waits. */
    public Set<String> cordonedMachines() {
        return cordonedMachines;
    }

    /** Resources that the placements on a machine use. */
    public ResourceUsage usageOn(String machine) {
        return placementIndex.usageOn(machine);
    }

    /** Resources that a team's tasks use of one quota partition. */
    public ResourceUsage quotaUsage(String partition, String team) {
        return placementIndex.quotaUsage(partition, team);
    }

    /** Whether the machine has fetched the image for an earlier task, as far as the records show. */
    public boolean hasImage(String machine, String image) {
        return placementIndex.hasImage(machine, image);
    }

    /** Attempts that may be on a machine. */
    public Map<AttemptId, Placement> placementsOn(String machine) {
        return placementIndex.placementsOn(machine);
    }

    /** Every change up to this revision has been brought by the watch. */
    public void advanceTo(long revision) {
        versions.advanceTo(revision);
    }

    /** The revision up to which the watch has brought every change. */
    public long watchedRevision() {
        return versions.watchedRevision();
    }
}
