package org.gullway.coordination.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.MachineType;

/** The machine types in the most recent listing from the cloud provider. */
public final class MachineTypeCatalog {
    private Map<String, MachineType> types = Map.of();

    /** Replaces the catalog with a new listing. */
    public void update(List<MachineType> listed) {
        Map<String, MachineType> byName = new HashMap<>();
        listed.forEach(type -> byName.put(type.name(), type));
        types = byName;
    }

    /** Returns all machine types, keyed by name. */
    public Map<String, MachineType> byName() {
        return types;
    }

    /** Returns whether the catalog has no types, as before the first listing from the cloud provider. */
    public boolean isEmpty() {
        return types.isEmpty();
    }
}
