package org.gullway.coordination.model;

/** A value of the state store. {@code RecordCodec} defines the stored format of each. */
public sealed interface StoreRecord
        permits JobRecord, FinalState, MachineShard, QuotaPartition, Incarnation, CordonedMachines, FencingToken {
    /** Upper bound for the encoded size of a record that consists of a few numbers. */
    int NUMBERS_BYTES = 100;

    /** Upper bound for the record's encoded size in the state store, which measures records as JSON. */
    default int maxEncodedBytes() {
        return NUMBERS_BYTES;
    }
}
