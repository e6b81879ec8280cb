package org.gullway.coordination.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.gullway.protocol.JobRequest;

/**
 * What the state store holds, as this controller last heard: marks for the guards of commits, records, and the room
 * that placements take, which follows from the records.
 */
public final class ClusterState {
    /** Room taken, or free. */
    public static final class ResourceUsage {
        public double cpus;
        public double gpus;
        public double memoryGb;
        public int tasks;

        /** Adds to a difference, which may be negative and is not zero when as many tasks came as went. */
        void change(JobRequest job, int sign) {
            cpus += sign * job.cpus();
            gpus += sign * job.gpus();
            memoryGb += sign * job.memoryGb();
            tasks += sign;
        }

        void add(JobRequest job, int sign) {
            change(job, sign);
            if (tasks == 0) {
                // Sums of decimals drift; an empty machine is exactly empty.
                cpus = 0;
                gpus = 0;
                memoryGb = 0;
            }
        }
    }

    private static final ResourceUsage NO_USAGE = new ResourceUsage();
    private static final int MAX_CANCELLED_JOBS = 10_000;

    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, JobRecord> jobs = new TreeMap<>();
    private final Map<String, MachineShard> shards = new TreeMap<>();
    private final Map<String, MachineRecord> machines = new LinkedHashMap<>();
    private final Map<String, Long> machineVersions = new HashMap<>();
    private final Map<String, String> shardOf = new HashMap<>();
    private final Map<String, QuotaPartition> quotaPartitions = new TreeMap<>();
    private final Map<String, Incarnation> members = new TreeMap<>();
    private final Map<String, ResourceUsage> machineUsage = new HashMap<>();
    /** By share and team. */
    private final Map<String, Map<String, ResourceUsage>> quotaUsage = new HashMap<>();
    /** Machines whose records or placements have changed since that was last asked. */
    private final Set<String> changedMachines = new HashSet<>();

    /** Jobs of which a record or the machine of a placement has changed since their placements were last checked. */
    private final Set<String> uncheckedJobs = new HashSet<>();

    private final Map<String, Map<AttemptId, Placement>> placementsByMachine = new HashMap<>();
    private final Map<String, Set<String>> imagesByMachine = new HashMap<>();
    /** Removals that the watch has not reached yet, so that an earlier put it still brings does not undo them. */
    private final Map<String, Long> removedAt = new HashMap<>();
    /** Jobs known to be cancelled, which they stay: also those whose records have ended or are being read anew. */
    private final Set<String> cancelledJobs = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_CANCELLED_JOBS;
        }
    });

    private long shardsAndMembersVersion;
    private long watchedRevision;
    /** Revision of the last loss of a member, as far as known. */
    private long lastLossRevision;

    private Incarnation leader;
    private long fencingToken;
    private Set<String> cordonedMachines = Set.of();

    /** Forgets everything, before a new reading of the store. */
    public void clear() {
        versions.clear();
        jobs.clear();
        uncheckedJobs.clear();
        shards.clear();
        changedMachines.addAll(machines.keySet());
        machines.clear();
        machineVersions.clear();
        shardsAndMembersVersion++;
        shardOf.clear();
        quotaPartitions.clear();
        members.clear();
        machineUsage.clear();
        quotaUsage.clear();
        placementsByMachine.clear();
        imagesByMachine.clear();
        removedAt.clear();
        watchedRevision = 0;
        leader = null;
        fencingToken = 0;
        cordonedMachines = Set.of();
    }

    /**
     * Takes a value with its mark; an older or equal mark than the known one changes nothing. Nor does one that the
     * watch has passed: the answer to an own commit can come after another controller's removal of the same key, and
     * once brought a finished job back for good, whose record then refused every commit (senderos-altos-grown steady).
     */
    public boolean put(String key, StoreRecord value, long version) {
        if (version <= watchedRevision
                || versions.getOrDefault(key, 0L) >= version
                || removedAt.getOrDefault(key, 0L) >= version) {
            return false;
        }
        versions.put(key, version);
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
        Incarnation before = members.put(key.substring(StoreKeys.MEMBERS.length()), incarnation);
        if (before != null && !before.equals(incarnation)) {
            lastLossRevision = Math.max(lastLossRevision, version);
        }
    }

    /** Takes the removal of a key at a revision. */
    public boolean remove(String key, long version) {
        if (versions.getOrDefault(key, 0L) >= version) {
            return false;
        }
        versions.remove(key);
        if (version > watchedRevision) {
            removedAt.put(key, version);
        }
        if (key.startsWith(StoreKeys.JOBS)) {
            replaceJob(key.substring(StoreKeys.JOBS.length()), null);
        } else if (key.startsWith(StoreKeys.SHARDS)) {
            replaceShard(key.substring(StoreKeys.SHARDS.length()), null, version);
        } else if (key.startsWith(StoreKeys.QUOTA_PARTITIONS)) {
            quotaPartitions.remove(key);
        } else if (key.startsWith(StoreKeys.MEMBERS)) {
            shardsAndMembersVersion++;
            members.remove(key.substring(StoreKeys.MEMBERS.length()));
            lastLossRevision = Math.max(lastLossRevision, version);
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
        MachineShard before = next == null ? shards.remove(id) : shards.put(id, next);
        if (before != null) {
            for (MachineRecord machine : before.machines()) {
                if (id.equals(shardOf.get(machine.name()))) {
                    machines.remove(machine.name());
                    machineVersions.remove(machine.name());
                    shardOf.remove(machine.name());
                    changedMachines.add(machine.name());
                }
            }
        }
        if (next != null) {
            for (MachineRecord machine : next.machines()) {
                machines.put(machine.name(), machine);
                machineVersions.put(machine.name(), version);
                shardOf.put(machine.name(), id);
                changedMachines.add(machine.name());
            }
        }
        if (before != null) {
            before.machines().stream()
                    .map(MachineRecord::name)
                    .filter(name -> !machines.containsKey(name))
                    .forEach(imagesByMachine::remove);
            before.machines().forEach(this::markPlacementsUnchecked);
        }
    }

    /** Placements on a machine that is gone, or in a later session than before, have to be checked. */
    private void markPlacementsUnchecked(MachineRecord before) {
        MachineRecord now = machines.get(before.name());
        if (now == null || now.agentEpoch() > before.agentEpoch()) {
            placementsOn(before.name())
                    .keySet()
                    .forEach(id -> uncheckedJobs.add(id.task().job()));
        }
    }

    /** Only what differs is counted anew: most changes of a record leave most of its placements as they are. */
    private void replaceJob(String id, JobRecord next) {
        JobRecord before = next == null ? jobs.remove(id) : jobs.put(id, next);
        if (next == null) {
            uncheckedJobs.remove(id);
        } else {
            uncheckedJobs.add(id);
        }
        boolean sameShare = before != null
                && next != null
                && Objects.equals(before.owner(), next.owner())
                && before.isCancelled() == next.isCancelled();
        Set<Placement> kept = Set.of();
        if (sameShare && !before.livePlacements().isEmpty()) {
            kept = new HashSet<>(before.livePlacements());
            kept.retainAll(new HashSet<>(next.livePlacements()));
        }
        if (before != null) {
            addUsage(before, kept, -1);
        }
        if (next != null) {
            addUsage(next, kept, 1);
            if (next.isCancelled()) {
                cancelledJobs.add(id);
            }
        }
    }

    private void addUsage(JobRecord job, Set<Placement> except, int sign) {
        JobRequest request = job.request();
        for (Placement placement : job.livePlacements()) {
            if (except.contains(placement)) {
                continue;
            }
            changedMachines.add(placement.machine());
            machineUsage
                    .computeIfAbsent(placement.machine(), m -> new ResourceUsage())
                    .add(request, sign);
            quotaUsage
                    .computeIfAbsent(StoreKeys.quotaPartitionOf(job), s -> new HashMap<>())
                    .computeIfAbsent(request.team(), t -> new ResourceUsage())
                    .add(request, sign);
            Map<AttemptId, Placement> there =
                    placementsByMachine.computeIfAbsent(placement.machine(), m -> new HashMap<>());
            if (sign > 0) {
                there.put(AttemptId.of(job, placement), placement);
                imagesByMachine
                        .computeIfAbsent(placement.machine(), m -> new HashSet<>())
                        .add(request.image());
            } else {
                there.remove(AttemptId.of(job, placement));
                if (there.isEmpty()) {
                    placementsByMachine.remove(placement.machine());
                    machineUsage.remove(placement.machine());
                }
            }
        }
    }

    /** Machines whose records or placements have changed since the last call. */
    public Set<String> drainChangedMachines() {
        Set<String> drained = new HashSet<>(changedMachines);
        changedMachines.clear();
        return drained;
    }

    /** The store was read as of this revision; a member may have been lost at any time before. */
    public void onFullRead(long revision) {
        lastLossRevision = Math.max(lastLossRevision, revision);
        advanceTo(revision);
    }

    /** Whether the epoch has risen after the last loss of any member. */
    public boolean isFencingTokenNewerThanLastLoss() {
        return version(StoreKeys.FENCING_TOKEN) > lastLossRevision;
    }

    public long version(String key) {
        return versions.getOrDefault(key, 0L);
    }

    public Collection<JobRecord> jobs() {
        return jobs.values();
    }

    public JobRecord job(String id) {
        return jobs.get(id);
    }

    /** Whether a placement of the job may be on a machine that is gone, or in an earlier session of one. */
    public boolean hasUncheckedPlacements(String job) {
        return uncheckedJobs.contains(job);
    }

    /** All placements of the job's present record are on machines in their present sessions. */
    public void markPlacementsChecked(String job) {
        uncheckedJobs.remove(job);
    }

    /** Whether the job is known to be cancelled, even if its record has ended since. */
    public boolean isCancelled(String job) {
        return cancelledJobs.contains(job);
    }

    public Collection<MachineRecord> machines() {
        return machines.values();
    }

    public MachineRecord machine(String name) {
        return machines.get(name);
    }

    public Collection<MachineShard> shards() {
        return shards.values();
    }

    public MachineShard shard(String id) {
        return shards.get(id);
    }

    /** The group that the machine belongs to, or null. */
    public String shardOf(String machine) {
        return shardOf.get(machine);
    }

    /** Mark of the record that holds the machine. */
    public long machineVersion(String machine) {
        return machineVersions.getOrDefault(machine, 0L);
    }

    /** All shares by their keys. */
    public Map<String, QuotaPartition> quotaPartitions() {
        return quotaPartitions;
    }

    public Map<String, Incarnation> members() {
        return members;
    }

    /** Rises with every change of a group or a member. */
    public long shardsAndMembersVersion() {
        return shardsAndMembersVersion;
    }

    public boolean isMember(Incarnation incarnation) {
        return incarnation != null && incarnation.equals(members.get(incarnation.node()));
    }

    public Incarnation leader() {
        return leader;
    }

    public long fencingToken() {
        return fencingToken;
    }

    /** Machines on which no best-effort task starts while reserved work waits. */
    public Set<String> cordonedMachines() {
        return cordonedMachines;
    }

    public ResourceUsage usageOn(String machine) {
        return machineUsage.getOrDefault(machine, NO_USAGE);
    }

    /** What a team's tasks take of one share. */
    public ResourceUsage quotaUsage(String share, String team) {
        return quotaUsage.getOrDefault(share, Map.of()).getOrDefault(team, NO_USAGE);
    }

    /** Whether the image was already fetched there for an earlier task, as far as the records show. */
    public boolean hasImage(String machine, String image) {
        return imagesByMachine.getOrDefault(machine, Set.of()).contains(image);
    }

    /** Attempts that may be on a machine. */
    public Map<AttemptId, Placement> placementsOn(String machine) {
        return placementsByMachine.getOrDefault(machine, Map.of());
    }

    /** Every change up to this revision has been brought by the watch. */
    public void advanceTo(long revision) {
        if (revision > watchedRevision) {
            watchedRevision = revision;
            removedAt.values().removeIf(mark -> mark <= revision);
        }
    }

    public long watchedRevision() {
        return watchedRevision;
    }
}
