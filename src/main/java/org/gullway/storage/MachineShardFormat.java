package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.MachineShard;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Count;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/** Stored encoding of a machine shard. Each machine is an array; the constants are the positions of its values. */
final class MachineShardFormat implements RecordFormat<MachineShard> {
    private static final int NAME = 0;
    private static final int TYPE = 1;
    private static final int ZONE = 2;
    private static final int SPOT = 3;
    private static final int AGENT_EPOCH = 4;
    private static final int LIFECYCLE = 5;
    private static final int PROVISIONED_AT = 6;
    private static final int ADDRESS = 7;

    @Override
    public ObjectNode encode(MachineShard shard) {
        ObjectNode node = Cbor.map();
        node.set("controller", IncarnationFormat.toNode(shard.controller()));
        node.set("epoch", shard.fencingToken().toNode());
        ArrayNode machines = node.putArray("machines");
        for (MachineRecord machine : shard.machines()) {
            machines.addArray()
                    .add(machine.name())
                    .add(machine.type())
                    .add(machine.zone())
                    .add(machine.spot())
                    .add(machine.agentEpoch().toNode())
                    .add(storedName(machine.lifecycle()))
                    .add(machine.provisionedAt().toEpochMilli())
                    .add(machine.address() == null ? "" : machine.address());
        }
        return node;
    }

    private static String storedName(MachineLifecycle lifecycle) {
        return switch (lifecycle) {
            case ACTIVE -> "STAYS";
            case UNRESPONSIVE -> "SILENT";
            case DRAINING -> "LEAVING";
            case LOST -> "LOST";
        };
    }

    @Override
    public MachineShard decode(String id, JsonNode value) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(value);
        Incarnation controller = IncarnationFormat.fromFields(fields.nested("controller"));
        Count fencingToken = fields.count("epoch");
        List<MachineRecord> machines = new ArrayList<>();
        for (JsonNode machine : value.path("machines")) {
            machines.add(decodeMachine(machine, controller, fencingToken));
        }
        return new MachineShard(id, controller, fencingToken, List.copyOf(machines));
    }

    private static MachineRecord decodeMachine(JsonNode machine, Incarnation controller, Count fencingToken)
            throws MalformedMessageException {
        String name = text(machine, NAME);
        String address = text(machine, ADDRESS);
        MachineLifecycle lifecycle = decodeLifecycle(name, text(machine, LIFECYCLE));
        return new MachineRecord(
                name,
                address.isEmpty() ? null : address,
                text(machine, TYPE),
                text(machine, ZONE),
                machine.path(SPOT).asBoolean(),
                controller,
                MessageFields.countAt(machine, AGENT_EPOCH, "machines[]"),
                fencingToken,
                lifecycle,
                Instant.ofEpochMilli(machine.path(PROVISIONED_AT).asLong()));
    }

    private static String text(JsonNode machine, int position) throws MalformedMessageException {
        return MessageFields.textAt(machine, position, "machines[]");
    }

    private static MachineLifecycle decodeLifecycle(String machine, String storedName)
            throws MalformedMessageException {
        return switch (storedName) {
            case "STAYS" -> MachineLifecycle.ACTIVE;
            case "SILENT" -> MachineLifecycle.UNRESPONSIVE;
            case "LEAVING" -> MachineLifecycle.DRAINING;
            case "LOST" -> MachineLifecycle.LOST;
            default -> throw new MalformedMessageException(
                    "machines: unknown lifecycle '" + storedName + "' of machine " + machine);
        };
    }
}
