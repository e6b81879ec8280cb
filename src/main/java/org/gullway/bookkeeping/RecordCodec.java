package org.gullway.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gullway.coordination.AllotmentRecord;
import org.gullway.coordination.AttemptLayout;
import org.gullway.coordination.ClosedMachines;
import org.gullway.coordination.GroupRecord;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.IntegerRanges;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.coordination.MachineRecord;
import org.gullway.coordination.Placement;
import org.gullway.coordination.Transaction;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Fields;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedException;

/** Records as values of the state store. */
public final class RecordCodec {
    private RecordCodec() {}

    /**
     * The form in which a record is kept in the state store.
     *
     * @param value a record of one of the types that {@link #decode} returns, or an ended job
     * @throws IllegalArgumentException if the value is of another type
     */
    public static ObjectNode encode(Object value) {
        if (value instanceof JobRecord job) {
            return encode(job);
        }
        if (value instanceof GroupRecord group) {
            return encode(group);
        }
        if (value instanceof AllotmentRecord share) {
            ObjectNode node = Cbor.map();
            share.teams()
                    .forEach((team, amount) ->
                            node.putArray(team).add(amount.cpus()).add(amount.cards()));
            return node;
        }
        if (value instanceof Incarnation incarnation) {
            return encode(incarnation);
        }
        if (value instanceof Transaction.Ended ended) {
            return Cbor.map()
                    .put("state", ended.state().wire())
                    .put("tasks", ended.tasks())
                    .put("done", ended.done());
        }
        if (value instanceof ClosedMachines closed) {
            ObjectNode node = Cbor.map();
            ArrayNode names = node.putArray("machines");
            closed.names().forEach(names::add);
            return node;
        }
        if (value instanceof Long epoch) {
            return Cbor.map().put("epoch", epoch);
        }
        throw new IllegalArgumentException("no record: " + value);
    }

    private static ObjectNode encode(Incarnation incarnation) {
        return Cbor.map().put("node", incarnation.node()).put("number", incarnation.number());
    }

    private static ObjectNode encode(JobRecord job) {
        ObjectNode node = Cbor.map();
        node.set("request", job.request().toNode());
        if (job.owner() != null) {
            node.put("owner", job.owner());
        }
        if (job.cancelled()) {
            node.put("cancelled", job.cancelledAt().toEpochMilli());
        }
        node.put("submitted", job.submitted().toEpochMilli())
                .put("attempts", job.attempts())
                .put("errors", job.errors());
        putTasks(node, job);
        return node;
    }

    /** Done are all tasks below "begun" that are neither live nor waiting again. */
    private static void putTasks(ObjectNode node, JobRecord job) {
        node.put("begun", AttemptLayout.begun(job));
        ArrayNode waiting = node.putArray("waiting");
        AttemptLayout.waitingAgain(job)
                .forEach((window, mask) -> waiting.add(window.intValue()).add(mask.intValue()));
        ArrayNode live = node.putArray("live");
        AttemptLayout.of(job).runs().forEach((place, runs) -> {
            ArrayNode list = live.addArray().add(place.machine()).add(place.session());
            for (AttemptLayout.Run run : runs) {
                list.add(run.second()).add(run.window()).add(run.offset()).add(run.masks());
            }
        });
    }

    private static ObjectNode encode(GroupRecord group) {
        ObjectNode node = Cbor.map();
        node.set("controller", encode(group.controller()));
        node.put("epoch", group.epoch());
        ArrayNode machines = node.putArray("machines");
        for (MachineRecord machine : group.machines()) {
            machines.addArray()
                    .add(machine.name())
                    .add(machine.type())
                    .add(machine.zone())
                    .add(machine.spot())
                    .add(machine.session())
                    .add(machine.fate().name())
                    .add(machine.rented().toEpochMilli())
                    .add(machine.address() == null ? "" : machine.address());
        }
        return node;
    }

    /** Reads a value under {@link Keys#LIVE}; null for a key of no known kind. */
    public static Object decode(String key, JsonNode value) throws MalformedException {
        Fields fields = Fields.of(value);
        if (key.startsWith(Keys.JOBS)) {
            return job(fields, value);
        }
        if (key.startsWith(Keys.GROUPS)) {
            return group(key.substring(Keys.GROUPS.length()), fields, value);
        }
        if (key.startsWith(Keys.SHARES)) {
            return share(value);
        }
        if (key.startsWith(Keys.MEMBERS) || key.equals(Keys.LEADER)) {
            return incarnation(fields);
        }
        if (key.equals(Keys.EPOCH)) {
            return fields.count("epoch");
        }
        if (key.equals(Keys.CLOSED)) {
            List<String> names = fields.textsOrNull("machines");
            return new ClosedMachines(names == null ? Set.of() : new LinkedHashSet<>(names));
        }
        return null;
    }

    /** Reads the record of a job that is over, which is kept outside the watched keys. */
    public static Transaction.Ended ended(JsonNode value) throws MalformedException {
        Fields fields = Fields.of(value);
        return new Transaction.Ended(
                JobState.of(fields.text("state")),
                fields.countUpTo("tasks", JobRequest.MOST_TASKS),
                fields.countUpTo("done", JobRequest.MOST_TASKS));
    }

    private static Incarnation incarnation(Fields fields) throws MalformedException {
        return new Incarnation(fields.text("node"), fields.count("number"));
    }

    private static JobRecord job(Fields fields, JsonNode value) throws MalformedException {
        Instant submitted = Instant.ofEpochMilli(fields.count("submitted"));
        List<Placement> live = placements(value.path("live"), submitted);
        return new JobRecord(
                JobRequest.parse(value.path("request")),
                fields.textOrNull("owner"),
                submitted,
                fields.has("cancelled") ? Instant.ofEpochMilli(fields.count("cancelled")) : null,
                doneTasks(fields.countUpTo("begun", JobRequest.MOST_TASKS), value.path("waiting"), live),
                fields.count("attempts"),
                fields.countUpTo("errors", Integer.MAX_VALUE),
                List.copyOf(live));
    }

    private static List<Placement> placements(JsonNode places, Instant submitted) throws MalformedException {
        Instant origin = submitted.truncatedTo(ChronoUnit.SECONDS);
        List<Placement> live = new ArrayList<>();
        for (JsonNode place : places) {
            for (int i = 2; i + 3 < place.size(); i += 4) {
                Instant since = origin.plusSeconds(place.get(i).asLong());
                long offset = place.get(i + 2).asLong();
                int masks = place.get(i + 3).asInt();
                BitSet stopping = tasksOf(place.get(i + 1).asInt(), masks >> AttemptLayout.STOPPING_SHIFT);
                tasksOf(place.get(i + 1).asInt(), masks).stream()
                        .forEach(task -> live.add(new Placement(
                                task,
                                task + offset,
                                place.path(0).asText(),
                                place.path(1).asLong(),
                                stopping.get(task),
                                since)));
            }
        }
        return live;
    }

    /** The tasks of a window that a mask names. */
    private static BitSet tasksOf(int window, int mask) throws MalformedException {
        if (window < 0 || window > JobRequest.MOST_TASKS / AttemptLayout.WINDOW) {
            throw new MalformedException("no window of tasks: " + window);
        }
        BitSet tasks = new BitSet();
        for (int bit = 0; bit < AttemptLayout.WINDOW; bit++) {
            tasks.set(window * AttemptLayout.WINDOW + bit, (mask >> bit & 1) != 0);
        }
        return tasks;
    }

    private static IntegerRanges doneTasks(int begun, JsonNode waiting, List<Placement> live)
            throws MalformedException {
        BitSet done = new BitSet();
        done.set(0, begun);
        live.forEach(placement -> done.clear(placement.task()));
        for (int i = 0; i + 1 < waiting.size(); i += 2) {
            done.andNot(tasksOf(waiting.get(i).asInt(), waiting.get(i + 1).asInt()));
        }
        return IntegerRanges.of(done);
    }

    private static AllotmentRecord share(JsonNode value) {
        Map<String, AllotmentRecord.Amount> teams = new TreeMap<>();
        value.properties()
                .forEach(e -> teams.put(
                        e.getKey(),
                        new AllotmentRecord.Amount(
                                e.getValue().path(0).asDouble(),
                                e.getValue().path(1).asDouble())));
        return new AllotmentRecord(teams);
    }

    private static GroupRecord group(String id, Fields fields, JsonNode value) throws MalformedException {
        Incarnation controller = incarnation(fields.inner("controller"));
        long epoch = fields.count("epoch");
        List<MachineRecord> machines = new ArrayList<>();
        for (JsonNode item : value.path("machines")) {
            MachineRecord.Disposition fate;
            try {
                fate = MachineRecord.Disposition.valueOf(item.path(5).asText());
            } catch (IllegalArgumentException e) {
                throw new MalformedException("fate is unknown");
            }
            String address = item.path(7).asText();
            machines.add(new MachineRecord(
                    item.path(0).asText(),
                    address.isEmpty() ? null : address,
                    item.path(1).asText(),
                    item.path(2).asText(),
                    item.path(3).asBoolean(),
                    controller,
                    item.path(4).asLong(),
                    epoch,
                    fate,
                    Instant.ofEpochMilli(item.path(6).asLong())));
        }
        return new GroupRecord(id, controller, epoch, List.copyOf(machines));
    }
}
