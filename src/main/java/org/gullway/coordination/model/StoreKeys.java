package org.gullway.coordination.model;

/**
 * Keys of the state store. The key names are part of the stored data and must not change. Every controller watches all
 * keys under {@link #LIVE}.
 */
public final class StoreKeys {
    public static final String LIVE = "live/";
    public static final String LEADER = LIVE + "leader";
    public static final String FENCING_TOKEN = LIVE + "epoch";
    public static final String CORDONED = LIVE + "closed";
    public static final String MEMBERS = LIVE + "members/";
    public static final String JOBS = LIVE + "jobs/";
    public static final String SHARDS = LIVE + "groups/";
    public static final String QUOTA_PARTITIONS = LIVE + "shares/";
    /** The quota partition that all reserved jobs are charged to; the leader holds it. */
    public static final String LEADER_QUOTA = QUOTA_PARTITIONS + "leader";

    private static final String CONTROLLER_QUOTAS = QUOTA_PARTITIONS + "node/";
    private static final String FINAL_STATES = "ended/";

    private StoreKeys() {}

    /** The key of a member, which is attached to the member's lease. */
    public static String member(String controllerName) {
        return MEMBERS + controllerName;
    }

    /** The key of a job that has not ended. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** The key of a shard of machines. */
    public static String shard(String id) {
        return SHARDS + id;
    }

    /** The quota partition of the controller of this name, for the best-effort jobs that it owns. */
    public static String quotaPartition(String controllerName) {
        return CONTROLLER_QUOTAS + controllerName;
    }

    /** The name of the controller that holds the quota partition of this key; null for the leader's. */
    public static String quotaHolder(String key) {
        return key.startsWith(CONTROLLER_QUOTAS) ? key.substring(CONTROLLER_QUOTAS.length()) : null;
    }

    /** The quota partition that a job's placements are charged to. */
    public static String quotaPartitionOf(JobRecord job) {
        return job.isReserved() ? LEADER_QUOTA : quotaPartition(job.owner());
    }

    /** The key under which the final state of a job is kept permanently. */
    public static String finalState(String id) {
        return FINAL_STATES + id;
    }
}
