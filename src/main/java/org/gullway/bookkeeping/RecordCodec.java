package org.gullway.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gullway.coordination.AllotmentRecord;
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
        ArrayNode done = node.putArray("done");
        for (int bound : job.done().bounds()) {
            done.add(bound);
        }
        encode(job, node);
        return node;
    }

    /** Placements of one machine and moment together; times count from the submission, which keeps them short. */
    private static void encode(JobRecord job, ObjectNode node) {
        Map<List<Object>, ArrayNode> byPlace = new HashMap<>();
        ArrayNode live = node.putArray("live");
        ArrayNode stopping = null;
        for (Placement p : job.live()) {
            long since = p.since().toEpochMilli() - job.submitted().toEpochMilli();
            byPlace.computeIfAbsent(List.of(p.machine(), p.session(), since), k -> live.addArray()
                            .add(p.machine())
                            .add(p.session())
                            .add(since))
                    .add(p.task())
                    .add(p.attempt());
            if (p.stopping()) {
                stopping = stopping == null ? node.putArray("stopping") : stopping;
                stopping.add(p.task());
            }
        }
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
                    .add(storedName(machine.fate()))
                    .add(machine.rented().toEpochMilli())
                    .add(machine.address() == null ? "" : machine.address());
        }
        return node;
    }

    /** Names in stored records, which stay as they are whatever the constants are called. */
    private static String storedName(MachineRecord.Disposition lifecycle) {
        return switch (lifecycle) {
            case STAYS -> "STAYS";
            case SILENT -> "SILENT";
            case LEAVING -> "LEAVING";
            case LOST -> "LOST";
        };
    }

    private static MachineRecord.Disposition lifecycle(String storedName) throws MalformedException {
        return switch (storedName) {
            case "STAYS" -> MachineRecord.Disposition.STAYS;
            case "SILENT" -> MachineRecord.Disposition.SILENT;
            case "LEAVING" -> MachineRecord.Disposition.LEAVING;
            case "LOST" -> MachineRecord.Disposition.LOST;
            default -> throw new MalformedException("machine lifecycle " + storedName + " is unknown");
        };
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
        List<Placement> live = new ArrayList<>();
        Instant submitted = Instant.ofEpochMilli(fields.count("submitted"));
        Set<Integer> stopping = new HashSet<>();
        value.path("stopping").forEach(task -> stopping.add(task.asInt()));
        for (JsonNode place : value.path("live")) {
            String machine = place.path(0).asText();
            Instant since = submitted.plusMillis(place.path(2).asLong());
            for (int i = 3; i + 1 < place.size(); i += 2) {
                int task = place.get(i).asInt();
                live.add(new Placement(
                        task,
                        place.get(i + 1).asLong(),
                        machine,
                        place.path(1).asLong(),
                        stopping.contains(task),
                        since));
            }
        }
        JsonNode done = value.path("done");
        int[] bounds = new int[done.size()];
        for (int i = 0; i < bounds.length; i++) {
            bounds[i] = done.get(i).asInt();
        }
        IntegerRanges ranges;
        try {
            ranges = IntegerRanges.of(bounds);
        } catch (IllegalArgumentException e) {
            throw new MalformedException("done: " + e.getMessage());
        }
        return new JobRecord(
                JobRequest.parse(value.path("request")),
                fields.textOrNull("owner"),
                submitted,
                fields.has("cancelled") ? Instant.ofEpochMilli(fields.count("cancelled")) : null,
                ranges,
                fields.count("attempts"),
                fields.countUpTo("errors", Integer.MAX_VALUE),
                List.copyOf(live));
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
            MachineRecord.Disposition fate = lifecycle(item.path(5).asText());
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
