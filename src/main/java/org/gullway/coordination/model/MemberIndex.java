package org.gullway.coordination.model;

import java.util.Map;
import java.util.TreeMap;
import org.gullway.protocol.Count;

/** The members by name, and the revision at which a member was last lost. */
final class MemberIndex {
    private final Map<String, Incarnation> members = new TreeMap<>();
    /** Revision of the last known loss of a member; {@link #clear} keeps it. */
    private Count lastLossRevision = Count.ZERO;

    void clear() {
        members.clear();
    }

    /** Stores a member's current incarnation; a different former incarnation of the member counts as lost. */
    void put(String name, Incarnation incarnation, Count revision) {
        Incarnation previous = members.put(name, incarnation);
        if (previous != null && !previous.equals(incarnation)) {
            recordLoss(revision);
        }
    }

    void remove(String name, Count revision) {
        members.remove(name);
        recordLoss(revision);
    }

    /** Records that a member was lost, or may have been lost, at this revision. */
    void recordLoss(Count revision) {
        lastLossRevision = Count.max(lastLossRevision, revision);
    }

    Count lastLossRevision() {
        return lastLossRevision;
    }

    boolean contains(Incarnation incarnation) {
        return incarnation != null && incarnation.equals(members.get(incarnation.node()));
    }

    Map<String, Incarnation> byName() {
        return members;
    }
}
