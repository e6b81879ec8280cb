package org.gullway.coordination.model;

/** A value of the state store. {@code RecordCodec} has the stored form of each. */
public sealed interface StoreRecord
        permits JobRecord, FinalState, MachineShard, QuotaPartition, Incarnation, CordonedMachines, FencingToken {
    /** Upper bound for records of a few fields. */
    int SMALL_RECORD_BYTES = 300;

    /** Upper bound of the record's size in the state store. */
    default int maxEncodedBytes() {
        return SMALL_RECORD_BYTES;
    }
}
