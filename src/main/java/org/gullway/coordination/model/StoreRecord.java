package org.gullway.coordination.model;

/** A value of the state store. {@code RecordCodec} defines the stored format of each. */
public sealed interface StoreRecord
        permits JobRecord, FinalState, MachineShard, QuotaPartition, Incarnation, CordonedMachines, FencingToken {
    /** Upper bound for the encoded size of a record with few fields. */
    int SMALL_RECORD_BYTES = 300;

    /** Upper bound for the encoded size of the record in the state store. */
    default int maxEncodedBytes() {
        return SMALL_RECORD_BYTES;
    }
}
