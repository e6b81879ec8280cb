package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.protocol.Cbor;

/** Stored encoding of a quota partition: for each team an array of the CPUs and the GPUs assigned to it. */
final class QuotaPartitionFormat implements RecordFormat<QuotaPartition> {
    private static final int CPUS = 0;
    private static final int GPUS = 1;

    @Override
    public ObjectNode encode(QuotaPartition partition) {
        ObjectNode node = Cbor.map();
        partition.amountByTeam().forEach((team, amount) -> node.putArray(team)
                .add(amount.cpus())
                .add(amount.gpus()));
        return node;
    }

    @Override
    public QuotaPartition decode(String name, JsonNode value) {
        Map<String, QuotaPartition.Amount> amountByTeam = new TreeMap<>();
        for (Map.Entry<String, JsonNode> team : value.properties()) {
            JsonNode amount = team.getValue();
            amountByTeam.put(
                    team.getKey(),
                    new QuotaPartition.Amount(
                            amount.path(CPUS).asDouble(), amount.path(GPUS).asDouble()));
        }
        return new QuotaPartition(amountByTeam);
    }
}
