package org.gullway.coordination;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.ClusterView.Room;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One commit in the making. Every key that it changes or relies on is guarded by the mark under which this
 * controller knows it, and the whole by the controller's membership, so that a commit that comes late, or from a
 * controller that has been given up, changes nothing.
 */
public final class Draft {
    /** The final state of a job, as it is kept under {@link Keys#ended}. */
    public record Ended(JobState state, int tasks, int done) {
    }

    /** A team's key holds the last writer; only its mark matters, which orders the placements of the team. */
    public record TeamTurn(Incarnation by) {
    }

    /** Limits of one commit of the state store. */
    public record Limits(int changes, int valueBytes) {
        private static final int COMMIT_BYTES = 48 * 1024;

        int guards() {
            return 4 * changes;
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(Draft.class);
    private static final int OTHER_BYTES = 300;

    private final ClusterView view;
    private final Incarnation self;
    private final Limits limits;
    private final Instant timeOfDay;
    private final Map<String, Object> changes = new LinkedHashMap<>();
    private final Set<String> guards = new LinkedHashSet<>();
    private final Map<String, Room> machineExtra = new HashMap<>();
    private final Map<String, Room> teamExtra = new HashMap<>();
    private int bytes;

    public Draft(ClusterView view, Incarnation self, Limits limits, Instant timeOfDay) {
        this.view = view;
        this.self = self;
        this.limits = limits;
        this.timeOfDay = timeOfDay;
        guards.add(Keys.member(self.node()));
    }

    /** A draft of the same content that can be changed apart from this one. */
    Draft copy() {
        Draft copy = new Draft(view, self, limits, timeOfDay);
        copy.changes.putAll(changes);
        copy.guards.addAll(guards);
        machineExtra.forEach((name, room) -> copy.machineExtra.put(name, room.copy()));
        teamExtra.forEach((name, room) -> copy.teamExtra.put(name, room.copy()));
        copy.bytes = bytes;
        return copy;
    }

    public Instant timeOfDay() {
        return timeOfDay;
    }

    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Keys with their new values; a null value removes the key. */
    public Map<String, Object> changes() {
        return changes;
    }

    public Set<String> guards() {
        return guards;
    }

    /** Whether so many further changes, each with a further guard beside it, fit into this commit. */
    public boolean hasRoomFor(int more) {
        return changes.size() + more <= limits.changes() && guards.size() + 2 * more <= limits.guards()
                && bytes < Limits.COMMIT_BYTES;
    }

    /** Makes the commit depend on a key that it does not change. */
    public void rely(String key) {
        guards.add(key);
    }

    public void put(String key, Object value) {
        guards.add(key);
        if (!changes.containsKey(key)) {
            bytes += value instanceof JobRecord job ? job.bytes() : OTHER_BYTES;
        }
        changes.put(key, value);
    }

    public void remove(String key) {
        guards.add(key);
        changes.put(key, null);
    }

    /** The job as this commit leaves it, or null. */
    public JobRecord job(String id) {
        String key = Keys.job(id);
        return changes.containsKey(key) ? (JobRecord) changes.get(key) : view.job(id);
    }

    /** Records the job; one that is over moves to where final states are kept. */
    public void putJob(JobRecord job) {
        String id = job.request().id();
        if (changes.containsKey(Keys.job(id)) && changes.get(Keys.job(id)) == null) {
            // It was once possible to record a job as ended and to keep it running in one commit.
            throw new IllegalStateException(id + " has ended in this commit");
        }
        if (job.over()) {
            remove(Keys.job(id));
            JobState state = job.state();
            put(Keys.ended(id), new Ended(state, job.request().tasks(), job.done().size()));
        } else {
            put(Keys.job(id), job);
        }
    }

    public MachineRecord machine(String name) {
        String key = Keys.machine(name);
        return changes.containsKey(key) ? (MachineRecord) changes.get(key) : view.machine(name);
    }

    public long epoch() {
        Object drafted = changes.get(Keys.EPOCH);
        return drafted == null ? view.epoch() : (Long) drafted;
    }

    /** Raises the epoch, once for all that this commit does. */
    public long raiseEpoch() {
        if (!changes.containsKey(Keys.EPOCH)) {
            put(Keys.EPOCH, view.epoch() + 1);
        }
        return epoch();
    }

    public double cpusUsedOn(String machine) {
        return view.usedOn(machine).cpus + extra(machineExtra, machine).cpus;
    }

    public double memoryUsedOn(String machine) {
        return view.usedOn(machine).memoryGb + extra(machineExtra, machine).memoryGb;
    }

    public double cardsUsedOn(String machine) {
        return view.usedOn(machine).cards + extra(machineExtra, machine).cards;
    }

    public double cpusUsedBy(String team) {
        return view.usedBy(team).cpus + extra(teamExtra, team).cpus;
    }

    public double cardsUsedBy(String team) {
        return view.usedBy(team).cards + extra(teamExtra, team).cards;
    }

    private static Room extra(Map<String, Room> extras, String name) {
        return extras.computeIfAbsent(name, n -> new Room());
    }

    /** Whether a placement of this job still fits into this commit and the job's record. */
    public boolean canPlace(JobRecord job) {
        int more = changes.containsKey(Keys.job(job.request().id())) ? 1 : 2;
        return hasRoomFor(more) && job.bytes() + JobRecord.PLACEMENT_BYTES <= limits.valueBytes();
    }

    /** Places one task; the machine's session, the team's use and the job are all guarded. */
    public void place(JobRecord job, int task, MachineRecord machine) {
        JobRequest request = job.request();
        LOG.debug("{}/{}#{} of {} goes to {} (image {})", request.id(), task, job.attempts() + 1, request.jobClass(),
                machine.name(), view.hasImage(machine.name(), request.image()));
        putJob(job.placed(task, machine.name(), machine.session(), timeOfDay));
        rely(Keys.machine(machine.name()));
        put(Keys.team(request.team()), new TeamTurn(self));
        extra(machineExtra, machine.name()).add(request, 1);
        extra(teamExtra, request.team()).add(request, 1);
    }
}
