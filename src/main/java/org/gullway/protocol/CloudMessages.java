package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Encodes requests to the cloud provider and decodes its responses. */
public final class CloudMessages {
    public static final int MAX_PROVISIONED_PER_CALL = 50;
    public static final int MAX_RELEASED_PER_CALL = 100;
    public static final int PAGE_SIZE = 500;

    private CloudMessages() {}

    /**
     * A machine in the cloud provider's machine list. The list shows changes with a delay, so it may omit a new machine
     * and may still contain a released one.
     *
     * @param address null if the list states none
     */
    public record ListedMachine(
            String name,
            String address,
            String type,
            String zone,
            boolean spot,
            boolean failed,
            boolean booting,
            Duration age) {}

    /** One page of the machine list. */
    public record Page(List<ListedMachine> machines, boolean more) {}

    /** Decodes the machine types that the provider offers. A type that lists no zones is offered in no zone. */
    public static List<MachineType> decodeTypes(byte[] body) throws MalformedMessageException {
        List<MachineType> types = new ArrayList<>();
        for (MessageFields type : MessageFields.of(Cbor.decode(body)).list("breeds")) {
            List<String> zones = type.textsOrNull("shores");
            types.add(new MachineType(
                    type.text("name"),
                    type.positive("cpus"),
                    type.has("cards") ? type.amount("cards") : 0,
                    type.amount("mem_gb"),
                    type.amount("local_gb"),
                    type.positive("pull_gb_per_s"),
                    type.amount("price"),
                    type.amount("low_price"),
                    type.seconds("startup_s"),
                    zones == null ? List.of() : zones));
        }
        return types;
    }

    /**
     * Encodes a request for machines.
     *
     * @param requestId the idempotency key: the provider carries out requests with the same id only once, so a retry of
     *     a request must have the same id and any other request a new one
     */
    public static byte[] encodeProvisionRequest(String requestId, String type, String zone, boolean spot, int count) {
        return Cbor.encode(Cbor.map()
                .put("charter", requestId)
                .put("breed", type)
                .put("shore", zone)
                .put("driftwood", spot)
                .put("count", count));
    }

    /** Decodes the names of the machines that a request provisioned. */
    public static List<String> decodeProvisioned(byte[] body) throws MalformedMessageException {
        List<String> names = MessageFields.of(Cbor.decode(body)).textsOrNull("perches");
        return names == null ? List.of() : names;
    }

    /** Encodes a request to release these machines. */
    public static byte[] encodeRelease(List<String> machines) {
        ObjectNode node = Cbor.map();
        ArrayNode list = node.putArray("perches");
        machines.forEach(list::add);
        return Cbor.encode(node);
    }

    /** Decodes one page of the list of provisioned machines. */
    public static Page decodePage(byte[] body) throws MalformedMessageException {
        JsonNode map = Cbor.decode(body);
        List<ListedMachine> machines = new ArrayList<>();
        for (MessageFields item : MessageFields.of(map).list("perches")) {
            String state = item.text("tide");
            machines.add(new ListedMachine(
                    item.text("name_id"),
                    item.textOrNull("endpoint"),
                    item.text("breed"),
                    item.text("shore"),
                    item.flag("driftwood"),
                    "failed".equals(state),
                    "booting".equals(state),
                    item.seconds("held_s")));
        }
        return new Page(machines, map.path("more").asBoolean());
    }
}
