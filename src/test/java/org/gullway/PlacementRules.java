package org.gullway;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.JobRequest;

/** A task runs on one machine at a time, and on none that its job excludes. */
final class PlacementRules {
    private static final double CPU_TOLERANCE = 1e-6;

    private final List<String> violations;
    private final Map<String, FakeAgent.Kind> machines = new HashMap<>();
    /** Machines on which a task is now, by job and task. */
    private final Map<String, Map<String, Set<String>>> placements = new HashMap<>();

    private final Map<String, Double> usedCpus = new HashMap<>();

    PlacementRules(List<String> violations) {
        this.violations = violations;
    }

    void onMachineUp(String name, FakeAgent.Kind kind) {
        machines.put(name, kind);
    }

    void onTaskStarted(ObservedJob job, String machine, String task, Instant now) {
        Set<String> current = placements
                .computeIfAbsent(job.id(), id -> new HashMap<>())
                .computeIfAbsent(task, id -> new HashSet<>());
        if (!current.isEmpty()) {
            violations.add("ran_twice: " + task + " starts on " + machine + " while on " + current + " at " + now);
        }
        violatedConstraint(job.request, machines.get(machine))
                .ifPresent(violated ->
                        violations.add("wrong_place: " + task + " on " + machine + ": " + violated + " at " + now));
        current.add(machine);
        usedCpus.merge(machine, job.request.cpus(), Double::sum);
    }

    /** Whether the task was on this machine. */
    boolean onTaskEnded(ObservedJob job, String machine, String task) {
        boolean present = placementsOf(job.id()).getOrDefault(task, Set.of()).remove(machine);
        if (present) {
            usedCpus.merge(machine, -job.request.cpus(), Double::sum);
        }
        return present;
    }

    private Map<String, Set<String>> placementsOf(String job) {
        return placements.getOrDefault(job, Map.of());
    }

    /** Why no task of the job may start on such a machine, given where its others are; empty if one may. */
    private Optional<String> violatedConstraint(JobRequest request, FakeAgent.Kind kind) {
        if (kind.spot() && !request.spotAllowed()) {
            return Optional.of("a spot machine");
        }
        if (request.machineTypes() != null && !request.machineTypes().contains(kind.type())) {
            return Optional.of("of type " + kind.type());
        }
        if (request.zone() != null && !request.zone().equals(kind.zone())) {
            return Optional.of("in zone " + kind.zone());
        }
        int inZone = 0;
        int elsewhere = 0;
        for (Set<String> placed : placementsOf(request.id()).values()) {
            for (String machine : placed) {
                if (machines.get(machine).zone().equals(kind.zone())) {
                    inZone++;
                } else {
                    elsewhere++;
                }
            }
        }
        if (request.singleZone() && elsewhere > 0) {
            return Optional.of("in zone " + kind.zone() + ", its other tasks are not");
        }
        if (request.spreadAcrossZones() && inZone + 1 > (request.tasks() + 1) / 2) {
            return Optional.of("the task beyond half of them in zone " + kind.zone());
        }
        return Optional.empty();
    }

    Set<String> machines() {
        return machines.keySet();
    }

    /** Whether a task of the job could start on this machine. */
    boolean isFeasible(JobRequest request, String machine) {
        FakeAgent.Kind kind = machines.get(machine);
        return usedCpus.getOrDefault(machine, 0.0) + request.cpus() <= kind.cpus() + CPU_TOLERANCE
                && violatedConstraint(request, kind).isEmpty();
    }

    /** Calls the action for every task of the job that is on machines now, with these. */
    void forEachRunning(String job, BiConsumer<String, Set<String>> action) {
        placementsOf(job).forEach((task, placed) -> {
            if (!placed.isEmpty()) {
                action.accept(task, placed);
            }
        });
    }

    /** How many tasks of the job are on a machine now. */
    long runningTasks(String job) {
        return placementsOf(job).values().stream()
                .filter(placed -> !placed.isEmpty())
                .count();
    }

    /** How many tasks are on a machine now. */
    long runningTasks() {
        return placements.keySet().stream().mapToLong(this::runningTasks).sum();
    }
}
