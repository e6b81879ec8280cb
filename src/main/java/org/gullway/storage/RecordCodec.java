package org.gullway.storage;

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
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.IntegerRanges;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/** Records as values of the state store. */
public final class RecordCodec {
    private RecordCodec() {}

    /**
     * The form in which a record is kept in the state store.
     *
     * @param value a record of one of the types that {@link #decode} returns, or an ended job
     * @throws IllegalArgumentException if the value is of another type
     */
    public static ObjectNode encode(StoreRecord value) {
        if (value instanceof JobRecord job) {
            return encode(job);
        }
        if (value instanceof MachineShard shard) {
            return encode(shard);
        }
        if (value instanceof QuotaPartition share) {
            ObjectNode node = Cbor.map();
            share.amountByTeam()
                    .forEach((team, amount) ->
                            node.putArray(team).add(amount.cpus()).add(amount.gpus()));
            return node;
        }
        if (value instanceof Incarnation incarnation) {
            return encode(incarnation);
        }
        if (value instanceof FinalState ended) {
            return Cbor.map()
                    .put("state", ended.state().wire())
                    .put("tasks", ended.tasks())
                    .put("done", ended.done());
        }
        if (value instanceof CordonedMachines closed) {
            ObjectNode node = Cbor.map();
            ArrayNode names = node.putArray("machines");
            closed.names().forEach(names::add);
            return node;
        }
        if (value instanceof FencingToken token) {
            return Cbor.map().put("epoch", token.value());
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
        if (job.isCancelled()) {
            node.put("cancelled", job.cancelledAt().toEpochMilli());
        }
        node.put("submitted", job.submittedAt().toEpochMilli())
                .put("attempts", job.attemptCount())
                .put("errors", job.consecutiveErrors());
        ArrayNode done = node.putArray("done");
        for (int bound : job.completedTasks().bounds()) {
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
        for (Placement p : job.livePlacements()) {
            long since = p.placedAt().toEpochMilli() - job.submittedAt().toEpochMilli();
            byPlace.computeIfAbsent(List.of(p.machine(), p.agentEpoch(), since), k -> live.addArray()
                            .add(p.machine())
                            .add(p.agentEpoch())
                            .add(since))
                    .add(p.task())
                    .add(p.attempt());
            if (p.stopping()) {
                stopping = stopping == null ? node.putArray("stopping") : stopping;
                stopping.add(p.task());
            }
        }
    }

    private static ObjectNode encode(MachineShard shard) {
        ObjectNode node = Cbor.map();
        node.set("controller", encode(shard.controller()));
        node.put("epoch", shard.fencingToken());
        ArrayNode machines = node.putArray("machines");
        for (MachineRecord machine : shard.machines()) {
            machines.addArray()
                    .add(machine.name())
                    .add(machine.type())
                    .add(machine.zone())
                    .add(machine.spot())
                    .add(machine.agentEpoch())
                    .add(storedName(machine.lifecycle()))
                    .add(machine.provisionedAt().toEpochMilli())
                    .add(machine.address() == null ? "" : machine.address());
        }
        return node;
    }

    /** Names in stored records, which stay as they are whatever the constants are called. */
    private static String storedName(MachineRecord.MachineLifecycle lifecycle) {
        return switch (lifecycle) {
            case ACTIVE -> "STAYS";
            case UNRESPONSIVE -> "SILENT";
            case DRAINING -> "LEAVING";
            case LOST -> "LOST";
        };
    }

    private static MachineRecord.MachineLifecycle lifecycle(String storedName) throws MalformedMessageException {
        return switch (storedName) {
            case "STAYS" -> MachineRecord.MachineLifecycle.ACTIVE;
            case "SILENT" -> MachineRecord.MachineLifecycle.UNRESPONSIVE;
            case "LEAVING" -> MachineRecord.MachineLifecycle.DRAINING;
            case "LOST" -> MachineRecord.MachineLifecycle.LOST;
            default -> throw new MalformedMessageException("machine lifecycle " + storedName + " is unknown");
        };
    }

    /** Reads a value under {@link StoreKeys#LIVE}; null for a key of no known kind. */
    public static StoreRecord decode(String key, JsonNode value) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(value);
        if (key.startsWith(StoreKeys.JOBS)) {
            return job(fields, value);
        }
        if (key.startsWith(StoreKeys.SHARDS)) {
            return group(key.substring(StoreKeys.SHARDS.length()), fields, value);
        }
        if (key.startsWith(StoreKeys.QUOTA_PARTITIONS)) {
            return share(value);
        }
        if (key.startsWith(StoreKeys.MEMBERS) || key.equals(StoreKeys.LEADER)) {
            return incarnation(fields);
        }
        if (key.equals(StoreKeys.FENCING_TOKEN)) {
            return new FencingToken(fields.count("epoch"));
        }
        if (key.equals(StoreKeys.CORDONED)) {
            List<String> names = fields.textsOrNull("machines");
            return new CordonedMachines(names == null ? Set.of() : new LinkedHashSet<>(names));
        }
        return null;
    }

    /** Reads the record of a job that is over, which is kept outside the watched keys. */
    public static FinalState ended(JsonNode value) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(value);
        return new FinalState(
                JobState.of(fields.text("state")),
                fields.countUpTo("tasks", JobRequest.MAX_TASKS),
                fields.countUpTo("done", JobRequest.MAX_TASKS));
    }

    private static Incarnation incarnation(MessageFields fields) throws MalformedMessageException {
        return new Incarnation(fields.text("node"), fields.count("number"));
    }

    private static JobRecord job(MessageFields fields, JsonNode value) throws MalformedMessageException {
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
            throw new MalformedMessageException("done: " + e.getMessage());
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

    private static QuotaPartition share(JsonNode value) {
        Map<String, QuotaPartition.Amount> teams = new TreeMap<>();
        value.properties()
                .forEach(e -> teams.put(
                        e.getKey(),
                        new QuotaPartition.Amount(
                                e.getValue().path(0).asDouble(),
                                e.getValue().path(1).asDouble())));
        return new QuotaPartition(teams);
    }

    private static MachineShard group(String id, MessageFields fields, JsonNode value)
            throws MalformedMessageException {
        Incarnation controller = incarnation(fields.inner("controller"));
        long fencingToken = fields.count("epoch");
        List<MachineRecord> machines = new ArrayList<>();
        for (JsonNode item : value.path("machines")) {
            MachineRecord.MachineLifecycle lifecycle = lifecycle(item.path(5).asText());
            String address = item.path(7).asText();
            machines.add(new MachineRecord(
                    item.path(0).asText(),
                    address.isEmpty() ? null : address,
                    item.path(1).asText(),
                    item.path(2).asText(),
                    item.path(3).asBoolean(),
                    controller,
                    item.path(4).asLong(),
                    fencingToken,
                    lifecycle,
                    Instant.ofEpochMilli(item.path(6).asLong())));
        }
        return new MachineShard(id, controller, fencingToken, List.copyOf(machines));
    }
}
