package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.gullway.protocol.CloudMessages.ListedMachine;
import org.junit.jupiter.api.Test;

class CloudMessagesTest {
    private final List<String> errors = new ArrayList<>();

    private static void addType(ArrayNode types, String name, String zone) {
        types.addObject()
                .put("name", name)
                .put("cpus", 16)
                .put("mem_gb", 32)
                .put("local_gb", 50)
                .put("pull_gb_per_s", 1)
                .put("price", 0.96)
                .put("low_price", 0.29)
                .put("startup_s", 50)
                .putArray("shores")
                .add(zone);
    }

    private static void addMachine(ArrayNode machines, String name, String zone) {
        machines.addObject()
                .put("name_id", name)
                .put("endpoint", "10.1.0.1:9000")
                .put("breed", "small")
                .put("shore", zone)
                .put("driftwood", true)
                .put("tide", "running")
                .put("held_s", 12.5);
    }

    /**
     * Guards against one type that makes all others unknown, without which nothing is accepted, and against a type that
     * no request for machines can name: the request would count as pending for good.
     */
    @Test
    void typeWithTextThatIsNotUtf8CostsItselfAlone() throws MalformedMessageException {
        for (String sequence : InvalidTexts.SEQUENCES) {
            errors.clear();
            ObjectNode body = Cbor.map();
            ArrayNode types = body.putArray("breeds");
            addType(types, InvalidTexts.PLACEHOLDER, "a");
            addType(types, "small", "a");
            addType(types, "large", InvalidTexts.PLACEHOLDER);
            List<MachineType> decoded = CloudMessages.decodeTypes(
                    InvalidTexts.replacePlaceholders(Cbor.encode(body), sequence), errors::add);
            assertThat(decoded).extracting(MachineType::name).as(sequence).containsExactly("small");
            assertThat(errors).as(sequence).hasSize(2);
        }
    }

    /** Guards against one machine that hides all others, and against one that cannot be recorded or released. */
    @Test
    void machineWithTextThatIsNotUtf8CostsItselfAlone() throws MalformedMessageException {
        for (String sequence : InvalidTexts.SEQUENCES) {
            errors.clear();
            ObjectNode body = Cbor.map().put("more", true);
            ArrayNode machines = body.putArray("perches");
            addMachine(machines, "vm-000001", "a");
            addMachine(machines, InvalidTexts.PLACEHOLDER, "a");
            addMachine(machines, "vm-000003", InvalidTexts.PLACEHOLDER);
            addMachine(machines, "vm-000004", "b");
            CloudMessages.Page page = CloudMessages.decodePage(
                    InvalidTexts.replacePlaceholders(Cbor.encode(body), sequence), errors::add);
            assertThat(page.machines())
                    .extracting(ListedMachine::name)
                    .as(sequence)
                    .containsExactly("vm-000001", "vm-000004");
            assertThat(page.more()).isTrue();
            assertThat(errors).as(sequence).hasSize(2);
        }
    }
}
