package org.gullway.coordination.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.gullway.protocol.JobRequest;

/** Indexes derived from the placements of all jobs: attempts, usage and images by machine, and quota usage. */
final class PlacementIndex {
    private static final ResourceUsage NO_USAGE = new ResourceUsage();

    private final Map<String, Map<AttemptId, Placement>> placementsByMachine = new HashMap<>();
    private final Map<String, ResourceUsage> machineUsage = new HashMap<>();
    private final Map<String, Set<String>> imagesByMachine = new HashMap<>();
    private final QuotaUsage quotaUsage = new QuotaUsage();
    private final Set<String> changedMachines;

    /** @param changedMachines collects the names of machines whose placements change */
    PlacementIndex(Set<String> changedMachines) {
        this.changedMachines = changedMachines;
    }

    void clear() {
        placementsByMachine.clear();
        machineUsage.clear();
        imagesByMachine.clear();
        quotaUsage.clear();
    }

    /**
     * Replaces a job's record. Only placements that differ are processed, since most changes of a record leave most of
     * its placements as they are. All placements are processed if the owner changes, because quota usage is indexed by
     * the owner, and if the job is cancelled, so that its machines are marked as changed and get new commands.
     *
     * @param previous the previous record, or null
     * @param next the new record, or null
     */
    void replace(JobRecord previous, JobRecord next) {
        Set<Placement> unchanged = unchangedPlacements(previous, next);
        if (previous != null) {
            removePlacements(previous, unchanged);
        }
        if (next != null) {
            addPlacements(next, unchanged);
        }
    }

    private static Set<Placement> unchangedPlacements(JobRecord previous, JobRecord next) {
        boolean sameOwnerAndCancellation = previous != null
                && next != null
                && Objects.equals(previous.owner(), next.owner())
                && previous.isCancelled() == next.isCancelled();
        if (!sameOwnerAndCancellation || previous.livePlacements().isEmpty()) {
            return Set.of();
        }
        Set<Placement> unchanged = new HashSet<>(previous.livePlacements());
        unchanged.retainAll(new HashSet<>(next.livePlacements()));
        return unchanged;
    }

    private void addPlacements(JobRecord job, Set<Placement> unchanged) {
        JobRequest request = job.request();
        for (Placement placement : job.livePlacements()) {
            if (unchanged.contains(placement)) {
                continue;
            }
            String machine = placement.machine();
            addUsage(job, machine, 1);
            placementsByMachine
                    .computeIfAbsent(machine, m -> new HashMap<>())
                    .put(AttemptId.of(job, placement), placement);
            imagesByMachine.computeIfAbsent(machine, m -> new HashSet<>()).add(request.image());
        }
    }

    private void removePlacements(JobRecord job, Set<Placement> unchanged) {
        for (Placement placement : job.livePlacements()) {
            if (unchanged.contains(placement)) {
                continue;
            }
            String machine = placement.machine();
            addUsage(job, machine, -1);
            Map<AttemptId, Placement> remaining = placementsByMachine.computeIfAbsent(machine, m -> new HashMap<>());
            remaining.remove(AttemptId.of(job, placement));
            if (remaining.isEmpty()) {
                placementsByMachine.remove(machine);
                machineUsage.remove(machine);
            }
        }
    }

    private void addUsage(JobRecord job, String machine, int sign) {
        JobRequest request = job.request();
        changedMachines.add(machine);
        machineUsage.computeIfAbsent(machine, m -> new ResourceUsage()).addToTotal(request, sign);
        quotaUsage.mutableUsage(StoreKeys.quotaPartitionOf(job), request.team()).addToTotal(request, sign);
    }

    /** Discards the list of images on a machine that no longer exists. */
    void forgetImages(String machine) {
        imagesByMachine.remove(machine);
    }

    Map<AttemptId, Placement> placementsOn(String machine) {
        return placementsByMachine.getOrDefault(machine, Map.of());
    }

    ResourceUsage usageOn(String machine) {
        return machineUsage.getOrDefault(machine, NO_USAGE);
    }

    ResourceUsage quotaUsage(String partition, String team) {
        return quotaUsage.of(partition, team);
    }

    boolean hasImage(String machine, String image) {
        return imagesByMachine.getOrDefault(machine, Set.of()).contains(image);
    }
}
