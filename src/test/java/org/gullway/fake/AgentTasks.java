package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gullway.protocol.JobRequest;
import org.gullway.transport.EventLoop;

/** The tasks on one machine with their timers, and the execution of the commands that start, stop and forget tasks. */
final class AgentTasks {
    private static final double CPU_TOLERANCE = 1e-6;

    private static final class Task {
        private final String id;
        private final long attempt;
        /** Why the attempt ended; null while it is running. */
        private String endCause;

        private Runnable cancelTimer = () -> {};
        private Duration remaining = Duration.ZERO;
        private Instant runningSince;

        Task(String id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        String job() {
            return id.substring(0, id.indexOf('/'));
        }

        boolean running() {
            return endCause == null;
        }
    }

    private final EventLoop loop;
    private final AgentProcess process;
    private final FakeAgent.Environment environment;
    private final String machine;
    private final double cpus;
    private final Runnable onTaskEnded;
    /** By task id and attempt, separated by {@code #}. */
    private final Map<String, Task> tasks = new LinkedHashMap<>();

    /** @param onTaskEnded runs after each task that completes, fails or is stopped */
    AgentTasks(
            EventLoop loop,
            AgentProcess process,
            FakeAgent.Environment environment,
            FakeAgent.Machine machine,
            Runnable onTaskEnded) {
        this.loop = loop;
        this.process = process;
        this.environment = environment;
        this.machine = machine.name();
        this.cpus = machine.kind().cpus();
        this.onTaskEnded = onTaskEnded;
    }

    /** Kills and forgets all tasks, as when the machine is terminated or its lease expires. */
    void killAll() {
        for (Task task : tasks.values()) {
            if (task.running()) {
                task.cancelTimer.run();
                environment.onTaskEnded(machine, task.id, false);
            }
        }
        tasks.clear();
    }

    /** Stops the progress of all tasks until {@link #resumeAll}. */
    void pauseAll() {
        for (Task task : tasks.values()) {
            if (task.running()) {
                task.cancelTimer.run();
                task.remaining = task.remaining.minus(Duration.between(task.runningSince, loop.now()));
            }
        }
    }

    void resumeAll() {
        tasks.values().stream().filter(Task::running).forEach(this::resume);
    }

    /** Adds the status of each task to the array. */
    void addStatuses(ArrayNode statuses) {
        for (Task task : tasks.values()) {
            ObjectNode status =
                    statuses.addObject().put("leg", task.id).put("tide", task.running() ? "running" : "ended");
            status.set("launch", UnsignedNumbers.node(task.attempt));
            if (!task.running()) {
                status.put("cause", task.endCause);
            }
        }
    }

    void execute(JsonNode command) {
        String id = command.path("leg").asText();
        long attempt = UnsignedNumbers.bits(command.path("launch"));
        String key = id + "#" + attempt;
        Task task = tasks.get(key);
        switch (command.path("call").asText()) {
            case "start" -> {
                if (task == null) {
                    start(key, new Task(id, attempt));
                }
            }
            case "halt" -> {
                if (task != null && task.running()) {
                    end(task, "halted");
                }
            }
            case "forget" -> {
                if (task != null && !task.running()) {
                    tasks.remove(key);
                }
            }
            default -> throw new IllegalStateException("unknown command " + command);
        }
    }

    private void start(String key, Task task) {
        tasks.put(key, task);
        task.endCause = immediateEndCause(task);
        if (task.running()) {
            environment.onTaskStarted(machine, task.id);
            task.remaining = environment.runTime(task.job());
            resume(task);
        } else if (task.endCause.equals("done")) {
            environment.onCompletedTaskStarted(machine, task.id);
        }
    }

    /** Returns the cause with which the task ends immediately, or null if it runs. */
    private String immediateEndCause(Task task) {
        JobRequest job = environment.jobOf(task.job());
        if (job == null) {
            return "no_such";
        }
        double usedCpus = 0;
        for (Task other : tasks.values()) {
            if (other != task && other.running()) {
                if (other.id.equals(task.id)) {
                    return "busy";
                }
                usedCpus += environment.jobOf(other.job()).cpus();
            }
        }
        if (usedCpus + job.cpus() > cpus + CPU_TOLERANCE) {
            return "full";
        }
        // A task that has already completed, on any machine, has its result and exits as soon as it is started, without
        // the image fetch of a real task.
        return environment.isCompleted(task.id) ? "done" : null;
    }

    private void resume(Task task) {
        task.runningSince = loop.now();
        task.cancelTimer = process.after(task.remaining, () -> {
            if (task.running()) {
                end(task, environment.taskFails(machine, task.job()) ? "error" : "done");
            }
        });
    }

    private void end(Task task, String cause) {
        task.cancelTimer.run();
        task.endCause = cause;
        environment.onTaskEnded(machine, task.id, cause.equals("done"));
        onTaskEnded.run();
    }
}
