package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.MalformedMessageException;

/** Encodes and decodes values of the state store with the {@link RecordFormat} of each record type. */
public final class RecordCodec {
    private static final JobFormat JOB = new JobFormat();
    private static final MachineShardFormat SHARD = new MachineShardFormat();
    private static final QuotaPartitionFormat QUOTA_PARTITION = new QuotaPartitionFormat();
    private static final IncarnationFormat INCARNATION = new IncarnationFormat();
    private static final FencingTokenFormat FENCING_TOKEN = new FencingTokenFormat();
    private static final CordonedMachinesFormat CORDONED_MACHINES = new CordonedMachinesFormat();
    private static final FinalStateFormat FINAL_STATE = new FinalStateFormat();

    /** All record types under {@link StoreKeys#LIVE}, the watched keys. */
    private static final List<StoredType<?>> WATCHED_TYPES = List.of(
            new StoredType<>(StoreKeys.JOBS, JOB),
            new StoredType<>(StoreKeys.SHARDS, SHARD),
            new StoredType<>(StoreKeys.QUOTA_PARTITIONS, QUOTA_PARTITION),
            new StoredType<>(StoreKeys.MEMBERS, INCARNATION),
            new StoredType<>(StoreKeys.LEADER, INCARNATION),
            new StoredType<>(StoreKeys.FENCING_TOKEN, FENCING_TOKEN),
            new StoredType<>(StoreKeys.CORDONED, CORDONED_MACHINES));

    private static final Map<Class<? extends StoreRecord>, RecordFormat<? extends StoreRecord>> FORMATS = Map.of(
            JobRecord.class, JOB,
            MachineShard.class, SHARD,
            QuotaPartition.class, QUOTA_PARTITION,
            Incarnation.class, INCARNATION,
            FencingToken.class, FENCING_TOKEN,
            CordonedMachines.class, CORDONED_MACHINES,
            FinalState.class, FINAL_STATE);

    private RecordCodec() {}

    /** Returns the value that is stored in the state store for a record. */
    public static ObjectNode encode(StoreRecord value) {
        return formatOf(value).encode(value);
    }

    /** The cast is safe because {@link #FORMATS} maps each record class to the format that encodes it. */
    @SuppressWarnings("unchecked")
    private static RecordFormat<StoreRecord> formatOf(StoreRecord value) {
        return (RecordFormat<StoreRecord>) FORMATS.get(value.getClass());
    }

    /**
     * Decodes a value under {@link StoreKeys#LIVE}. Returns null if the key belongs to no known record type; a later
     * version may have written it.
     *
     * @throws MalformedMessageException if the format rejects the value; the message begins with the key
     */
    public static StoreRecord decode(String key, JsonNode value) throws MalformedMessageException {
        for (StoredType<?> type : WATCHED_TYPES) {
            if (type.matches(key)) {
                return decode(type, key, value);
            }
        }
        return null;
    }

    private static StoreRecord decode(StoredType<?> type, String key, JsonNode value) throws MalformedMessageException {
        try {
            return type.decode(key, value);
        } catch (MalformedMessageException e) {
            throw new MalformedMessageException(key + ": " + e.getMessage());
        }
    }

    /** Decodes the final state of an ended job, which is stored outside the watched keys. Does not use the key. */
    public static FinalState decodeFinalState(JsonNode value) throws MalformedMessageException {
        return FINAL_STATE.decode("", value);
    }
}
