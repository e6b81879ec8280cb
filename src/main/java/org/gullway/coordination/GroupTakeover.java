package org.gullway.coordination;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Decides which groups of machines this controller takes over from others: from lost ones, and from unreachable ones. */
final class GroupTakeover {
    private final ClusterView view;
    private final Incarnation self;
    private final Predicate<String> reroutedHere;
    /** Groups of a controller that some of their workers cannot reach. */
    private final Set<String> strayGroups = new HashSet<>();
    /** Version of groups and members at which no group was without a live controller; -1 if there was one. */
    private long settledVersion = -1;

    /** @param reroutedHere whether the agent of a machine sends its heartbeats here since it cannot reach its controller */
    GroupTakeover(ClusterView view, Incarnation self, Predicate<String> reroutedHere) {
        this.view = view;
        this.self = self;
        this.reroutedHere = reroutedHere;
    }

    /** To be told of a worker that reports here since it cannot reach the controller of its group. */
    void strayed(String group) {
        strayGroups.add(group);
    }

    /**
     * Who takes over the group of a lost controller: the same node if it is back, or else a member that all
     * controllers agree on as far as they agree on the members.
     */
    String successor(GroupRecord group) {
        if (view.members().containsKey(group.controller().node())) {
            return group.controller().node();
        }
        List<String> members = List.copyOf(view.members().keySet());
        return members.isEmpty() ? null : members.get(Math.floorMod(group.id().hashCode(), members.size()));
    }

    /** Groups whose controller is lost, and those of a live one that many of their workers cannot reach. */
    void propose(Transaction draft) {
        strayGroups.removeIf(
                id -> view.group(id) == null || self.equals(view.group(id).controller()));
        if (strayGroups.isEmpty() && settledVersion == view.groupsAndMembersVersion()) {
            return;
        }
        boolean allLive = true;
        for (GroupRecord group : view.groups()) {
            boolean live = view.isLive(group.controller());
            allLive &= live;
            boolean lost = !live && self.node().equals(successor(group));
            if ((lost || strayGroups.contains(group.id()) && manyStrayed(group)) && draft.hasRoomFor(2)) {
                draft.putGroup(draft.group(group.id())
                        .claimed(self, lost ? epochAfterLoss(draft, group) : draft.raiseEpoch()));
            }
        }
        settledVersion = allLive ? view.groupsAndMembersVersion() : -1;
    }

    /**
     * An epoch that the lost controller never commanded under: the present one, if it was raised after the last loss
     * of a member; the lost one must not have come back unseen. After a crash of all, one raise serves all groups.
     */
    private long epochAfterLoss(Transaction draft, GroupRecord group) {
        draft.rely(Keys.member(group.controller().node()));
        if (!view.epochRaisedSinceLoss()) {
            return draft.raiseEpoch();
        }
        draft.rely(Keys.EPOCH);
        return draft.epoch();
    }

    private boolean manyStrayed(GroupRecord group) {
        long up = group.machines().stream().filter(MachineRecord::up).count();
        long here = group.machines().stream()
                .filter(m -> reroutedHere.test(m.name()))
                .count();
        return 2 * here >= up;
    }
}
