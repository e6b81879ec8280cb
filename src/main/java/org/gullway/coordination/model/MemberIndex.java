package org.gullway.coordination.model;

import java.util.Map;
import java.util.TreeMap;

/** The members by their names, and when one was last lost. */
final class MemberIndex {
    private final Map<String, Incarnation> members = new TreeMap<>();
    /** Revision of the last loss of a member, as far as known; it outlasts a full read. */
    private long lastLossRevision;

    void clear() {
        members.clear();
    }

    /** Takes a member's present incarnation; a former one of the same name is lost. */
    void put(String name, Incarnation incarnation, long revision) {
        Incarnation previous = members.put(name, incarnation);
        if (previous != null && !previous.equals(incarnation)) {
            lostAt(revision);
        }
    }

    void remove(String name, long revision) {
        members.remove(name);
        lostAt(revision);
    }

    /** A member was lost at this revision, or may have been. */
    void lostAt(long revision) {
        lastLossRevision = Math.max(lastLossRevision, revision);
    }

    long lastLossRevision() {
        return lastLossRevision;
    }

    boolean contains(Incarnation incarnation) {
        return incarnation != null && incarnation.equals(members.get(incarnation.node()));
    }

    Map<String, Incarnation> byName() {
        return members;
    }
}
