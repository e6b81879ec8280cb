package org.gullway.coordination.model;

import java.util.HashMap;
import java.util.Map;

/** Resource usage by quota partition and team. */
final class QuotaUsage {
    private static final ResourceUsage NONE = new ResourceUsage();

    private final Map<String, Map<String, ResourceUsage>> usage = new HashMap<>();

    void clear() {
        usage.clear();
    }

    /** The usage to read; it must not be changed. */
    ResourceUsage of(String partition, String team) {
        return usage.getOrDefault(partition, Map.of()).getOrDefault(team, NONE);
    }

    /** The usage to change. */
    ResourceUsage toChange(String partition, String team) {
        return usage.computeIfAbsent(partition, p -> new HashMap<>()).computeIfAbsent(team, t -> new ResourceUsage());
    }
}
