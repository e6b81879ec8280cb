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

/** Checks that a task runs on only one machine at a time, and only on machines that meet the constraints of its job. */
final class PlacementRules {
    private static final double CPU_TOLERANCE = 1e-6;

    private final List<String> violations;
    private final Map<String, FakeAgent.Kind> machines = new HashMap<>();
    /** The machines on which a task runs now, by job id and task id. */
    private final Map<String, Map<String, Set<String>>> placements = new HashMap<>();

    private final Map<String, Double> usedCpus = new HashMap<>();

    PlacementRules(List<String> violations) {
        this.violations = violations;
    }

    void onMachineUp(String name, FakeAgent.Kind kind) {
        machines.put(name, kind);
    }

    void onTaskStarted(ObservedJob job, String machine, String task, Instant now) {
        checkStart(job, machine, task, now);
        placements
                .computeIfAbsent(job.id(), id -> new HashMap<>())
                .computeIfAbsent(task, id -> new HashSet<>())
                .add(machine);
        usedCpus.merge(machine, job.request.cpus(), Double::sum);
    }

    /** Checks whether the task may start on the machine now. */
    void checkStart(ObservedJob job, String machine, String task, Instant now) {
        Set<String> runningOn = placementsOf(job.id()).getOrDefault(task, Set.of());
        if (!runningOn.isEmpty()) {
            violations.add("ran_twice: " + task + " starts on " + machine + " while on " + runningOn + " at " + now);
        }
        violatingProperty(job.request, machines.get(machine))
                .ifPresent(property ->
                        violations.add("wrong_place: " + task + " on " + machine + ": " + property + " at " + now));
    }

    /** Removes the task from the machine. Returns whether the task ran there. */
    boolean onTaskEnded(ObservedJob job, String machine, String task) {
        boolean removed = placementsOf(job.id()).getOrDefault(task, Set.of()).remove(machine);
        if (removed) {
            usedCpus.merge(machine, -job.request.cpus(), Double::sum);
        }
        return removed;
    }

    private Map<String, Set<String>> placementsOf(String job) {
        return placements.getOrDefault(job, Map.of());
    }

    /**
     * Returns the property of the machine that violates a constraint of the job, given the machines of the job's
     * running tasks; empty if a task may start on such a machine.
     */
    private Optional<String> violatingProperty(JobRequest request, FakeAgent.Kind kind) {
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
        int inOtherZones = 0;
        for (Set<String> machinesOfTask : placementsOf(request.id()).values()) {
            for (String machine : machinesOfTask) {
                if (machines.get(machine).zone().equals(kind.zone())) {
                    inZone++;
                } else {
                    inOtherZones++;
                }
            }
        }
        if (request.singleZone() && inOtherZones > 0) {
            return Optional.of("in zone " + kind.zone() + " while other tasks of the job run in another zone");
        }
        if (request.spreadAcrossZones() && inZone + 1 > (request.tasks() + 1) / 2) {
            return Optional.of("more than half of the tasks in zone " + kind.zone());
        }
        return Optional.empty();
    }

    Set<String> machines() {
        return machines.keySet();
    }

    /** Returns whether the machine has enough free CPUs for a task of the job and meets the constraints of the job. */
    boolean canStartTask(JobRequest request, String machine) {
        FakeAgent.Kind kind = machines.get(machine);
        return usedCpus.getOrDefault(machine, 0.0) + request.cpus() <= kind.cpus() + CPU_TOLERANCE
                && violatingProperty(request, kind).isEmpty();
    }

    /** Calls the action for every running task of the job, with the machines on which the task runs. */
    void forEachRunning(String job, BiConsumer<String, Set<String>> action) {
        placementsOf(job).forEach((task, machinesOfTask) -> {
            if (!machinesOfTask.isEmpty()) {
                action.accept(task, machinesOfTask);
            }
        });
    }

    /** Returns the number of running tasks of the job. */
    long runningTasks(String job) {
        return placementsOf(job).values().stream()
                .filter(machinesOfTask -> !machinesOfTask.isEmpty())
                .count();
    }

    /** Returns the number of running tasks of all jobs. */
    long runningTasks() {
        return placements.keySet().stream().mapToLong(this::runningTasks).sum();
    }
}
