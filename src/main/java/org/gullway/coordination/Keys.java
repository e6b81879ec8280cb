package org.gullway.coordination;

/** Names of the keys in the state store. Everything under {@link #LIVE} is watched by every controller. */
public final class Keys {
    public static final String LIVE = "live/";
    public static final String LEADER = LIVE + "leader";
    public static final String EPOCH = LIVE + "epoch";
    public static final String CLOSED = LIVE + "closed";
    public static final String MEMBERS = LIVE + "members/";
    public static final String JOBS = LIVE + "jobs/";
    public static final String GROUPS = LIVE + "groups/";
    public static final String SHARES = LIVE + "shares/";
    /** The share for all that the leader books. */
    public static final String LEADERS_SHARE = SHARES + "leader";

    private static final String NODE_SHARES = SHARES + "node/";
    private static final String ENDED = "ended/";

    private Keys() {}

    public static String member(String node) {
        return MEMBERS + node;
    }

    public static String job(String id) {
        return JOBS + id;
    }

    public static String group(String id) {
        return GROUPS + id;
    }

    /** The share of the controller of this name, for the best-effort jobs that it owns. */
    public static String share(String node) {
        return NODE_SHARES + node;
    }

    /** The name of the controller that holds the share of this key; null for the leader's. */
    public static String holderOf(String share) {
        return share.startsWith(NODE_SHARES) ? share.substring(NODE_SHARES.length()) : null;
    }

    /** The share that a job's placements count for. */
    public static String shareOf(JobRecord job) {
        return job.reserved() ? LEADERS_SHARE : share(job.owner());
    }

    /** Where the final state of a job is kept for good. */
    public static String ended(String id) {
        return ENDED + id;
    }
}
