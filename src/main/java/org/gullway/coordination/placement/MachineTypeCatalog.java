package org.gullway.coordination.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.MachineType;

/** The machine types that the cloud provider offers, as it last listed them. */
public final class MachineTypeCatalog {
    private Map<String, MachineType> types = Map.of();

    /** Replaces all types. */
    public void update(List<MachineType> listed) {
        Map<String, MachineType> byName = new HashMap<>();
        listed.forEach(type -> byName.put(type.name(), type));
        types = byName;
    }

    /** All types by their names. */
    public Map<String, MachineType> byName() {
        return types;
    }

    /** Whether the provider has not listed its types yet. */
    public boolean isEmpty() {
        return types.isEmpty();
    }
}
