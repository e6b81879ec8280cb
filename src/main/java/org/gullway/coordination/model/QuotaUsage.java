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

    /** The usage of a team, for reading only. */
    ResourceUsage of(String partition, String team) {
        return usage.getOrDefault(partition, Map.of()).getOrDefault(team, NONE);
    }

    /** The usage of a team, for modification; created on first use. */
    ResourceUsage mutableUsage(String partition, String team) {
        return usage.computeIfAbsent(partition, p -> new HashMap<>()).computeIfAbsent(team, t -> new ResourceUsage());
    }
}
