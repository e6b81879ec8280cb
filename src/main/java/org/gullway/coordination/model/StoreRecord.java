package org.gullway.coordination.model;

/** A value of the state store. {@code RecordCodec} defines the stored format of each. */
public sealed interface StoreRecord
        permits JobRecord, FinalState, MachineShard, QuotaPartition, Incarnation, CordonedMachines, FencingToken {
    /** Estimated encoded size of a record with few fields; the estimate for records that have none of their own. */
    int SMALL_RECORD_BYTES = 300;

    /**
     * Estimate of the record's encoded size in the state store. Most records never exceed it. {@link CordonedMachines}
     * and {@link QuotaPartition} have no estimate of their own and may exceed the default. A transaction may then
     * exceed {@link Transaction.Limits#SOFT_MAX_BYTES}, which is lower than the limit of the store.
     */
    default int estimatedEncodedBytes() {
        return SMALL_RECORD_BYTES;
    }
}
