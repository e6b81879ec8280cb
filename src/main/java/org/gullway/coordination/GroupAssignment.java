package org.gullway.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Puts new machines on record, in groups of the controllers that command the fewest. */
public final class GroupAssignment {
    private final ClusterView view;
    private final Transaction draft;
    private final String idPrefix;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, List<String>> open = new HashMap<>();
    private int created;

    /** @param idPrefix distinguishes the groups created now from all others ever created */
    public GroupAssignment(ClusterView view, Transaction draft, String idPrefix) {
        this.view = view;
        this.draft = draft;
        this.idPrefix = idPrefix;
        view.members().keySet().forEach(node -> {
            counts.put(node, 0);
            open.put(node, new ArrayList<>());
        });
        for (GroupRecord group : view.groups()) {
            if (view.isLive(group.controller())) {
                String node = group.controller().node();
                counts.merge(node, group.machines().size(), Integer::sum);
                if (group.machines().size() < GroupRecord.MOST_MACHINES) {
                    open.get(node).add(group.id());
                }
            }
        }
    }

    /** Records a machine that the cloud has rented to us; false if that does not fit into this commit any more. */
    public boolean add(MachineRecord machine) {
        if (counts.isEmpty()) {
            return false;
        }
        String node = counts.entrySet().stream()
                .min(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
        List<String> groups = open.get(node);
        GroupRecord group = groups.isEmpty() ? null : draft.group(groups.get(groups.size() - 1));
        if (group != null && group.machines().size() >= GroupRecord.MOST_MACHINES) {
            groups.remove(groups.size() - 1);
            return add(machine);
        }
        if (!draft.hasRoomFor(2) && (group == null || !draft.changes().containsKey(Keys.group(group.id())))) {
            return false;
        }
        if (group == null) {
            long epoch = draft.epoch() == 0 ? draft.raiseEpoch() : draft.epoch();
            group = new GroupRecord(idPrefix + "-" + ++created, view.members().get(node), epoch, List.of());
            groups.add(group.id());
        }
        draft.putGroup(group.with(machine.claimed(group.controller(), group.epoch())));
        counts.merge(node, 1, Integer::sum);
        return true;
    }
}
