package org.gullway.coordination.model;

/** A value of the state store. {@code RecordCodec} defines the stored format of each. */
public sealed interface StoreRecord
        permits JobRecord, FinalState, MachineShard, QuotaPartition, Incarnation, CordonedMachines, FencingToken {
    /** Upper bound for the encoded size of a record with few fields; the default estimate for all records. */
    int SMALL_RECORD_BYTES = 300;

    /**
     * Estimate of the record's encoded size in the state store. It is an upper bound, except for {@link
     * CordonedMachines} and {@link QuotaPartition}: they have no estimate of their own and may exceed it.
     */
    default int estimatedEncodedBytes() {
        return SMALL_RECORD_BYTES;
    }
}
