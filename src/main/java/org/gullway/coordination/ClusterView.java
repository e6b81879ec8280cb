package org.gullway.coordination;

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
public final class ClusterView {
    /** Room taken, or free. */
    public static final class Room {
        public double cpus;
        public double cards;
        public double memoryGb;
        public int tasks;

        /** Adds to a difference, which may be negative and is not zero when as many tasks came as went. */
        void change(JobRequest job, int sign) {
            cpus += sign * job.cpus();
            cards += sign * job.cards();
            memoryGb += sign * job.memoryGb();
            tasks += sign;
        }

        void add(JobRequest job, int sign) {
            change(job, sign);
            if (tasks == 0) {
                // Sums of decimals drift; an empty machine is exactly empty.
                cpus = 0;
                cards = 0;
                memoryGb = 0;
            }
        }
    }

    private static final Room UNUSED = new Room();
    private static final int MOST_CANCELLED_REMEMBERED = 10_000;

    private final Map<String, Long> marks = new HashMap<>();
    private final Map<String, JobRecord> jobs = new TreeMap<>();
    private final Map<String, GroupRecord> groups = new TreeMap<>();
    private final Map<String, MachineRecord> machines = new LinkedHashMap<>();
    private final Map<String, Long> machineMarks = new HashMap<>();
    private final Map<String, String> groupOf = new HashMap<>();
    private final Map<String, AllotmentRecord> shares = new TreeMap<>();
    private final Map<String, Incarnation> members = new TreeMap<>();
    private final Map<String, Room> machineUse = new HashMap<>();
    /** By share and team. */
    private final Map<String, Map<String, Room>> shareUse = new HashMap<>();
    /** Machines whose records or placements have changed since that was last asked. */
    private final Set<String> touched = new HashSet<>();

    /** Jobs of which a record or the machine of a placement has changed since their placements were last checked. */
    private final Set<String> uncheckedJobs = new HashSet<>();

    private final Map<String, Map<AttemptId, Placement>> onMachine = new HashMap<>();
    private final Map<String, Set<String>> images = new HashMap<>();
    /** Removals that the watch has not reached yet, so that an earlier put it still brings does not undo them. */
    private final Map<String, Long> removed = new HashMap<>();
    /** Jobs known to be cancelled, which they stay: also those whose records have ended or are being read anew. */
    private final Set<String> cancelled = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_CANCELLED_REMEMBERED;
        }
    });

    private long groupsAndMembersVersion;
    private long watched;
    /** Revision of the last loss of a member, as far as known. */
    private long lossSeen;

    private Incarnation leader;
    private long epoch;
    private Set<String> closed = Set.of();

    /** Forgets everything, before a new reading of the store. */
    public void clear() {
        marks.clear();
        jobs.clear();
        uncheckedJobs.clear();
        groups.clear();
        touched.addAll(machines.keySet());
        machines.clear();
        machineMarks.clear();
        groupsAndMembersVersion++;
        groupOf.clear();
        shares.clear();
        members.clear();
        machineUse.clear();
        shareUse.clear();
        onMachine.clear();
        images.clear();
        removed.clear();
        watched = 0;
        leader = null;
        epoch = 0;
        closed = Set.of();
    }

    /**
     * Takes a value with its mark; an older or equal mark than the known one changes nothing. Nor does one that the
     * watch has passed: the answer to an own commit can come after another controller's removal of the same key, and
     * once brought a finished job back for good, whose record then refused every commit (senderos-altos-grown steady).
     */
    public boolean put(String key, Object value, long mark) {
        if (mark <= watched || marks.getOrDefault(key, 0L) >= mark || removed.getOrDefault(key, 0L) >= mark) {
            return false;
        }
        marks.put(key, mark);
        if (value instanceof JobRecord job) {
            replaceJob(job.request().id(), job);
        } else if (value instanceof GroupRecord group) {
            replaceGroup(group.id(), group, mark);
        } else if (value instanceof AllotmentRecord share) {
            shares.put(key, share);
        } else if (key.startsWith(Keys.MEMBERS)) {
            groupsAndMembersVersion++;
            Incarnation before = members.put(key.substring(Keys.MEMBERS.length()), (Incarnation) value);
            if (before != null && !before.equals(value)) {
                lossSeen = Math.max(lossSeen, mark);
            }
        } else if (key.equals(Keys.LEADER)) {
            leader = (Incarnation) value;
        } else if (key.equals(Keys.EPOCH)) {
            epoch = (Long) value;
        } else if (key.equals(Keys.CLOSED)) {
            closed = ((ClosedMachines) value).names();
        }
        return true;
    }

    /** Takes the removal of a key at a revision. */
    public boolean remove(String key, long mark) {
        if (marks.getOrDefault(key, 0L) >= mark) {
            return false;
        }
        marks.remove(key);
        if (mark > watched) {
            removed.put(key, mark);
        }
        if (key.startsWith(Keys.JOBS)) {
            replaceJob(key.substring(Keys.JOBS.length()), null);
        } else if (key.startsWith(Keys.GROUPS)) {
            replaceGroup(key.substring(Keys.GROUPS.length()), null, mark);
        } else if (key.startsWith(Keys.SHARES)) {
            shares.remove(key);
        } else if (key.startsWith(Keys.MEMBERS)) {
            groupsAndMembersVersion++;
            members.remove(key.substring(Keys.MEMBERS.length()));
            lossSeen = Math.max(lossSeen, mark);
        } else if (key.equals(Keys.LEADER)) {
            leader = null;
        } else if (key.equals(Keys.CLOSED)) {
            closed = Set.of();
        }
        return true;
    }

    private void replaceGroup(String id, GroupRecord next, long mark) {
        groupsAndMembersVersion++;
        GroupRecord before = next == null ? groups.remove(id) : groups.put(id, next);
        if (before != null) {
            for (MachineRecord machine : before.machines()) {
                if (id.equals(groupOf.get(machine.name()))) {
                    machines.remove(machine.name());
                    machineMarks.remove(machine.name());
                    groupOf.remove(machine.name());
                    touched.add(machine.name());
                }
            }
        }
        if (next != null) {
            for (MachineRecord machine : next.machines()) {
                machines.put(machine.name(), machine);
                machineMarks.put(machine.name(), mark);
                groupOf.put(machine.name(), id);
                touched.add(machine.name());
            }
        }
        if (before != null) {
            before.machines().stream()
                    .map(MachineRecord::name)
                    .filter(name -> !machines.containsKey(name))
                    .forEach(images::remove);
            before.machines().forEach(this::uncheckIfLost);
        }
    }

    /** Placements on a machine that is gone, or in a later session than before, have to be checked. */
    private void uncheckIfLost(MachineRecord before) {
        MachineRecord now = machines.get(before.name());
        if (now == null || now.session() > before.session()) {
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
                && before.cancelled() == next.cancelled();
        Set<Placement> kept = Set.of();
        if (sameShare && !before.live().isEmpty()) {
            kept = new HashSet<>(before.live());
            kept.retainAll(new HashSet<>(next.live()));
        }
        if (before != null) {
            count(before, kept, -1);
        }
        if (next != null) {
            count(next, kept, 1);
            if (next.cancelled()) {
                cancelled.add(id);
            }
        }
    }

    private void count(JobRecord job, Set<Placement> except, int sign) {
        JobRequest request = job.request();
        for (Placement placement : job.live()) {
            if (except.contains(placement)) {
                continue;
            }
            touched.add(placement.machine());
            machineUse.computeIfAbsent(placement.machine(), m -> new Room()).add(request, sign);
            shareUse.computeIfAbsent(Keys.shareOf(job), s -> new HashMap<>())
                    .computeIfAbsent(request.team(), t -> new Room())
                    .add(request, sign);
            Map<AttemptId, Placement> there = onMachine.computeIfAbsent(placement.machine(), m -> new HashMap<>());
            if (sign > 0) {
                there.put(AttemptId.of(job, placement), placement);
                images.computeIfAbsent(placement.machine(), m -> new HashSet<>())
                        .add(request.image());
            } else {
                there.remove(AttemptId.of(job, placement));
                if (there.isEmpty()) {
                    onMachine.remove(placement.machine());
                    machineUse.remove(placement.machine());
                }
            }
        }
    }

    /** Machines whose records or placements have changed since the last call. */
    public Set<String> drainTouched() {
        Set<String> drained = new HashSet<>(touched);
        touched.clear();
        return drained;
    }

    /** The store was read as of this revision; a member may have been lost at any time before. */
    public void readAt(long revision) {
        lossSeen = Math.max(lossSeen, revision);
        watchedTo(revision);
    }

    /** Whether the epoch has risen after the last loss of any member. */
    public boolean epochRaisedSinceLoss() {
        return mark(Keys.EPOCH) > lossSeen;
    }

    public long mark(String key) {
        return marks.getOrDefault(key, 0L);
    }

    public Collection<JobRecord> jobs() {
        return jobs.values();
    }

    public JobRecord job(String id) {
        return jobs.get(id);
    }

    /** Whether a placement of the job may be on a machine that is gone, or in an earlier session of one. */
    boolean placementsUnchecked(String job) {
        return uncheckedJobs.contains(job);
    }

    /** All placements of the job's present record are on machines in their present sessions. */
    void placementsChecked(String job) {
        uncheckedJobs.remove(job);
    }

    /** Whether the job is known to be cancelled, even if its record has ended since. */
    public boolean isCancelled(String job) {
        return cancelled.contains(job);
    }

    public Collection<MachineRecord> machines() {
        return machines.values();
    }

    public MachineRecord machine(String name) {
        return machines.get(name);
    }

    public Collection<GroupRecord> groups() {
        return groups.values();
    }

    public GroupRecord group(String id) {
        return groups.get(id);
    }

    /** The group that the machine belongs to, or null. */
    public String groupOf(String machine) {
        return groupOf.get(machine);
    }

    /** Mark of the record that holds the machine. */
    public long machineMark(String machine) {
        return machineMarks.getOrDefault(machine, 0L);
    }

    /** All shares by their keys. */
    public Map<String, AllotmentRecord> shares() {
        return shares;
    }

    public Map<String, Incarnation> members() {
        return members;
    }

    /** Rises with every change of a group or a member. */
    public long groupsAndMembersVersion() {
        return groupsAndMembersVersion;
    }

    public boolean isLive(Incarnation incarnation) {
        return incarnation != null && incarnation.equals(members.get(incarnation.node()));
    }

    public Incarnation leader() {
        return leader;
    }

    public long epoch() {
        return epoch;
    }

    /** Machines on which no best-effort task starts while reserved work waits. */
    public Set<String> closed() {
        return closed;
    }

    public Room usedOn(String machine) {
        return machineUse.getOrDefault(machine, UNUSED);
    }

    /** What a team's tasks take of one share. */
    public Room usedOf(String share, String team) {
        return shareUse.getOrDefault(share, Map.of()).getOrDefault(team, UNUSED);
    }

    /** Whether the image was already fetched there for an earlier task, as far as the records show. */
    public boolean hasImage(String machine, String image) {
        return images.getOrDefault(machine, Set.of()).contains(image);
    }

    /** Attempts that may be on a machine. */
    public Map<AttemptId, Placement> placementsOn(String machine) {
        return onMachine.getOrDefault(machine, Map.of());
    }

    /** Every change up to this revision has been brought by the watch. */
    public void watchedTo(long revision) {
        if (revision > watched) {
            watched = revision;
            removed.values().removeIf(mark -> mark <= revision);
        }
    }

    public long watched() {
        return watched;
    }
}
