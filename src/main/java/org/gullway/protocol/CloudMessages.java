package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What is said to the cloud and what it answers. */
public final class CloudMessages {
    public static final int MOST_RENTED_AT_ONCE = 50;
    public static final int MOST_RETURNED_AT_ONCE = 100;
    public static final int PAGE = 500;

    private CloudMessages() {}

    /** A machine as the cloud's lagging list shows it. */
    public record Listed(
            String name,
            String address,
            String type,
            String zone,
            boolean spot,
            boolean failed,
            boolean booting,
            Duration age) {}

    /** One page of the machine list. */
    public record Page(List<Listed> machines, boolean more) {}

    /**
     * Reads the types of machines that the cloud rents out; one that names no zones is rented out in none.
     */
    public static List<MachineType> types(byte[] body) throws MalformedException {
        List<MachineType> types = new ArrayList<>();
        for (Fields type : Fields.of(Cbor.decode(body)).list("breeds")) {
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
     * The body of a request for machines.
     *
     * @param request its name: the cloud carries out requests of one name only once
     */
    public static byte[] rental(String request, String type, String zone, boolean spot, int count) {
        return Cbor.encode(Cbor.map()
                .put("charter", request)
                .put("breed", type)
                .put("shore", zone)
                .put("driftwood", spot)
                .put("count", count));
    }

    public static List<String> rented(byte[] body) throws MalformedException {
        List<String> names = Fields.of(Cbor.decode(body)).textsOrNull("perches");
        return names == null ? List.of() : names;
    }

    /** The body of a request that ends the rental of these machines. */
    public static byte[] giveBack(List<String> machines) {
        ObjectNode node = Cbor.map();
        ArrayNode list = node.putArray("perches");
        machines.forEach(list::add);
        return Cbor.encode(node);
    }

    /** Reads one page of the list of rented machines. */
    public static Page page(byte[] body) throws MalformedException {
        JsonNode map = Cbor.decode(body);
        List<Listed> machines = new ArrayList<>();
        for (Fields item : Fields.of(map).list("perches")) {
            String state = item.text("tide");
            machines.add(new Listed(
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
