package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

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

    /** Decodes one item of a list. */
    private interface ItemDecoder<T> {
        T decode(MessageFields item) throws MalformedMessageException;
    }

    /** Decodes the items of a list. A malformed item is left out and its error reported, so that it costs no other. */
    private static <T> List<T> decodeItems(
            JsonNode map, String list, ItemDecoder<T> decoder, Consumer<String> onMalformedItem)
            throws MalformedMessageException {
        List<T> items = new ArrayList<>();
        for (MessageFields item : MessageFields.of(map).list(list)) {
            try {
                items.add(decoder.decode(item));
            } catch (MalformedMessageException e) {
                onMalformedItem.accept(e.getMessage());
            }
        }
        return items;
    }

    /**
     * Decodes the machine types that the provider offers. A type that lists no zones is offered in no zone.
     *
     * @param onMalformedItem receives the error of each type that is left out because it is malformed
     */
    public static List<MachineType> decodeTypes(byte[] body, Consumer<String> onMalformedItem)
            throws MalformedMessageException {
        return decodeItems(Cbor.decodeLeniently(body), "breeds", CloudMessages::decodeType, onMalformedItem);
    }

    private static MachineType decodeType(MessageFields type) throws MalformedMessageException {
        List<String> zones = type.textsOrNull("shores");
        return new MachineType(
                type.text("name"),
                type.positive("cpus"),
                type.has("cards") ? type.amount("cards") : 0,
                type.amount("mem_gb"),
                type.amount("local_gb"),
                type.positive("pull_gb_per_s"),
                type.amount("price"),
                type.amount("low_price"),
                type.seconds("startup_s"),
                zones == null ? List.of() : zones);
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

    /**
     * Decodes one page of the list of provisioned machines.
     *
     * @param onMalformedItem receives the error of each machine that is left out because it is malformed
     */
    public static Page decodePage(byte[] body, Consumer<String> onMalformedItem) throws MalformedMessageException {
        JsonNode map = Cbor.decodeLeniently(body);
        List<ListedMachine> machines = decodeItems(map, "perches", CloudMessages::decodeMachine, onMalformedItem);
        return new Page(machines, map.path("more").asBoolean());
    }

    private static ListedMachine decodeMachine(MessageFields machine) throws MalformedMessageException {
        String state = machine.text("tide");
        return new ListedMachine(
                machine.text("name_id"),
                machine.textOrNull("endpoint"),
                machine.text("breed"),
                machine.text("shore"),
                machine.flag("driftwood"),
                "failed".equals(state),
                "booting".equals(state),
                machine.seconds("held_s"));
    }
}
