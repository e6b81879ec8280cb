package org.gullway.coordination;

/** Names of the keys in the state store. Everything under {@link #LIVE} is watched by every controller. */
public final class Keys {
    public static final String LIVE = "live/";
    public static final String LEADER = LIVE + "leader";
    public static final String EPOCH = LIVE + "epoch";
    public static final String CLOSED = LIVE + "closed";
    public static final String MEMBERS = LIVE + "members/";
    public static final String JOBS = LIVE + "jobs/";
    public static final String TEAMS = LIVE + "teams/";
    public static final String MACHINES = LIVE + "machines/";
    private static final String ENDED = "ended/";

    private Keys() {
    }

    public static String member(String node) {
        return MEMBERS + node;
    }

    public static String job(String id) {
        return JOBS + id;
    }

    public static String team(String name) {
        return TEAMS + name;
    }

    public static String machine(String name) {
        return MACHINES + name;
    }

    /** Where the final state of a job is kept for good. */
    public static String ended(String id) {
        return ENDED + id;
    }
}
