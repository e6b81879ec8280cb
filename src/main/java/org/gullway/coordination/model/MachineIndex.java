package org.gullway.coordination.model;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gullway.protocol.Count;

/** Indexes the shards by id and their machines by name. */
final class MachineIndex {
    private final Map<String, MachineShard> shards = new TreeMap<>();
    private final Map<String, MachineRecord> machines = new LinkedHashMap<>();
    private final Map<String, Count> machineVersions = new HashMap<>();
    private final Map<String, String> shardOf = new HashMap<>();
    private final Set<String> changedMachines;
    private LongestMachineFields longestFields = LongestMachineFields.NONE;

    /** @param changedMachines collects the names of machines whose records change */
    MachineIndex(Set<String> changedMachines) {
        this.changedMachines = changedMachines;
    }

    void clear() {
        changedMachines.addAll(machines.keySet());
        shards.clear();
        machines.clear();
        machineVersions.clear();
        shardOf.clear();
    }

    /**
     * Replaces a shard and its machines. A machine of the previous record that another shard has taken over meanwhile
     * is not removed.
     *
     * @param next the shard's new record, or null if it is removed
     * @return the shard's previous record, or null
     */
    MachineShard replace(String id, MachineShard next, Count version) {
        MachineShard previous = next == null ? shards.remove(id) : shards.put(id, next);
        if (previous != null) {
            removeMachines(id, previous);
        }
        if (next != null) {
            addMachines(id, next, version);
        }
        return previous;
    }

    private void removeMachines(String id, MachineShard shard) {
        for (MachineRecord machine : shard.machines()) {
            String name = machine.name();
            if (id.equals(shardOf.get(name))) {
                machines.remove(name);
                machineVersions.remove(name);
                shardOf.remove(name);
                changedMachines.add(name);
            }
        }
    }

    private void addMachines(String id, MachineShard shard, Count version) {
        for (MachineRecord machine : shard.machines()) {
            String name = machine.name();
            machines.put(name, machine);
            machineVersions.put(name, version);
            shardOf.put(name, id);
            changedMachines.add(name);
            longestFields = longestFields.with(machine);
        }
    }

    LongestMachineFields longestFields() {
        return longestFields;
    }

    Collection<MachineRecord> machines() {
        return machines.values();
    }

    MachineRecord machine(String name) {
        return machines.get(name);
    }

    Collection<MachineShard> shards() {
        return shards.values();
    }

    MachineShard shard(String id) {
        return shards.get(id);
    }

    String shardOf(String machine) {
        return shardOf.get(machine);
    }

    Count versionOf(String machine) {
        return machineVersions.getOrDefault(machine, Count.ZERO);
    }
}
