package org.gullway.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.ClosedMachines;
import org.gullway.coordination.Draft;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.coordination.MachineRecord;
import org.gullway.coordination.Placement;
import org.gullway.coordination.Ranges;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Fields;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedException;

/** Records as values of the state store. */
public final class RecordCodec {
    private RecordCodec() {
    }

    public static ObjectNode encode(Object value) {
        if (value instanceof JobRecord job) {
            return encode(job);
        }
        if (value instanceof MachineRecord machine) {
            return encode(machine);
        }
        if (value instanceof Incarnation incarnation) {
            return encode(incarnation);
        }
        if (value instanceof Draft.TeamTurn turn) {
            return encode(turn.by());
        }
        if (value instanceof Draft.Ended ended) {
            return Cbor.map().put("state", ended.state().wire()).put("tasks", ended.tasks()).put("done", ended.done());
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
        node.put("submitted", job.submitted().toEpochMilli()).put("cancelled", job.cancelled())
                .put("attempts", job.attempts()).put("errors", job.errors());
        ArrayNode done = node.putArray("done");
        for (int bound : job.done().bounds()) {
            done.add(bound);
        }
        ArrayNode live = node.putArray("live");
        for (Placement p : job.live()) {
            live.addArray().add(p.task()).add(p.attempt()).add(p.machine()).add(p.session()).add(p.stopping())
                    .add(p.since().toEpochMilli());
        }
        return node;
    }

    private static ObjectNode encode(MachineRecord machine) {
        ObjectNode node = Cbor.map().put("name", machine.name()).put("type", machine.type())
                .put("zone", machine.zone()).put("spot", machine.spot()).put("session", machine.session())
                .put("epoch", machine.epoch()).put("fate", machine.fate().name())
                .put("rented", machine.rented().toEpochMilli());
        if (machine.up()) {
            node.put("address", machine.address());
            node.set("controller", encode(machine.controller()));
        }
        return node;
    }

    /** Reads a value under {@link Keys#LIVE}; null for a key of no known kind. */
    public static Object decode(String key, JsonNode value) throws MalformedException {
        Fields fields = Fields.of(value);
        if (key.startsWith(Keys.JOBS)) {
            return job(fields, value);
        }
        if (key.startsWith(Keys.MACHINES)) {
            return machine(fields);
        }
        if (key.startsWith(Keys.MEMBERS) || key.equals(Keys.LEADER)) {
            return incarnation(fields);
        }
        if (key.startsWith(Keys.TEAMS)) {
            return new Draft.TeamTurn(incarnation(fields));
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

    public static Draft.Ended ended(JsonNode value) throws MalformedException {
        Fields fields = Fields.of(value);
        return new Draft.Ended(JobState.of(fields.text("state")), fields.countUpTo("tasks", JobRequest.MOST_TASKS),
                fields.countUpTo("done", JobRequest.MOST_TASKS));
    }

    private static Incarnation incarnation(Fields fields) throws MalformedException {
        return new Incarnation(fields.text("node"), fields.count("number"));
    }

    private static JobRecord job(Fields fields, JsonNode value) throws MalformedException {
        List<Placement> live = new ArrayList<>();
        for (JsonNode p : value.path("live")) {
            live.add(new Placement(p.path(0).asInt(), p.path(1).asLong(), p.path(2).asText(), p.path(3).asLong(),
                    p.path(4).asBoolean(), Instant.ofEpochMilli(p.path(5).asLong())));
        }
        JsonNode done = value.path("done");
        int[] bounds = new int[done.size()];
        for (int i = 0; i < bounds.length; i++) {
            bounds[i] = done.get(i).asInt();
        }
        Ranges ranges;
        try {
            ranges = Ranges.of(bounds);
        } catch (IllegalArgumentException e) {
            throw new MalformedException("done: " + e.getMessage());
        }
        return new JobRecord(JobRequest.parse(value.path("request")), fields.textOrNull("owner"),
                Instant.ofEpochMilli(fields.count("submitted")), fields.flag("cancelled"), ranges,
                fields.count("attempts"), fields.countUpTo("errors", Integer.MAX_VALUE), List.copyOf(live));
    }

    private static MachineRecord machine(Fields fields) throws MalformedException {
        boolean up = fields.has("controller");
        MachineRecord.Fate fate;
        try {
            fate = MachineRecord.Fate.valueOf(fields.text("fate"));
        } catch (IllegalArgumentException e) {
            throw new MalformedException("fate is unknown");
        }
        return new MachineRecord(fields.text("name"), up ? fields.text("address") : null, fields.text("type"),
                fields.text("zone"), fields.flag("spot"), up ? incarnation(fields.inner("controller")) : null,
                fields.count("session"), fields.count("epoch"), fate, Instant.ofEpochMilli(fields.count("rented")));
    }
}
