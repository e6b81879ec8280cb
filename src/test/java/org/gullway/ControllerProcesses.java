package org.gullway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Starts, signals and kills controllers that run in processes of their own, and reads their logs. A separate thread
 * starts and signals the processes, since that would block an event loop for a long time.
 */
final class ControllerProcesses implements AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(10);

    private final List<String> command;
    private final Map<String, List<String>> commandsByController = new ConcurrentHashMap<>();
    private final String logLevel;
    private final Path directory;
    private final Consumer<String> onProcessFailure;
    private final Map<String, Process> processes = new ConcurrentSkipListMap<>();
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    /** Kills the controllers if this process is terminated before {@link #close}. */
    private final Thread shutdownHook = new Thread(this::killAll);

    /**
     * @param command the command line that starts a controller, without --config and --operator-settings
     * @param directory the directory to which the logs of the controllers are written
     * @param onProcessFailure called, on any thread, with the cause when a controller cannot be started or exits by
     *     itself
     */
    ControllerProcesses(List<String> command, String logLevel, Path directory, Consumer<String> onProcessFailure) {
        this.command = List.copyOf(command);
        this.logLevel = logLevel;
        this.directory = directory;
        this.onProcessFailure = onProcessFailure;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Sets the command that starts this controller from now on, in place of the common command. */
    void useCommand(String name, List<String> ownCommand) {
        commandsByController.put(name, List.copyOf(ownCommand));
    }

    /** Starts the controller unless it is already running. */
    void start(String name, Path settings, Path operatorSettings) {
        executor.execute(() -> processes.computeIfAbsent(name, n -> startProcess(n, settings, operatorSettings)));
    }

    private Process startProcess(String name, Path settings, Path operatorSettings) {
        List<String> fullCommand = new ArrayList<>(commandsByController.getOrDefault(name, command));
        fullCommand.addAll(
                List.of("--config", settings.toString(), "--operator-settings", operatorSettings.toString()));
        ProcessBuilder builder = new ProcessBuilder(fullCommand);
        builder.environment().put("LOG_LEVEL", logLevel);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()));
        try {
            Process process = builder.start();
            CompletableFuture<Void> unused = process.onExit().thenAccept(exited -> onExit(name, exited));
            return process;
        } catch (IOException e) {
            onProcessFailure.accept(name + " cannot be started: " + e);
            return null;
        }
    }

    private void onExit(String name, Process process) {
        if (processes.remove(name, process)) {
            onProcessFailure.accept(name + " exited unexpectedly with code " + process.exitValue() + ", last log line: "
                    + lastLogLine(name));
        }
    }

    private String lastLogLine(String name) {
        try {
            List<String> lines = Files.readAllLines(logFile(name));
            return lines.isEmpty() ? "none" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "unreadable: " + e.getMessage();
        }
    }

    /** Kills the process, which simulates a crash. */
    void kill(String name) {
        executor.execute(() -> {
            Process process = processes.remove(name);
            if (process != null) {
                process.destroyForcibly();
            }
        });
    }

    /**
     * Requests an orderly exit, in which the process can still write recordings such as those of Java Flight Recorder.
     */
    void terminate(String name) {
        executor.execute(() -> {
            Process process = processes.remove(name);
            if (process != null) {
                process.destroy();
            }
        });
    }

    /** Suspends the process (paused is true) or resumes it. */
    void setPaused(String name, boolean paused) {
        executor.execute(() -> {
            Process process = processes.get(name);
            if (process != null) {
                signal(process, paused ? "-STOP" : "-CONT");
            }
        });
    }

    private static void signal(Process process, String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Process ids of the running controllers, by controller name. */
    Map<String, Long> ids() {
        Map<String, Long> ids = new TreeMap<>();
        processes.forEach((name, process) -> ids.put(name, process.pid()));
        return ids;
    }

    private Path logFile(String name) {
        return directory.resolve(name + ".log");
    }

    /** The log lines of these controllers that contain any of these texts, each prefixed with its controller's name. */
    List<String> logLines(List<String> names, List<String> texts) {
        List<String> found = new ArrayList<>();
        for (String name : names) {
            if (!Files.exists(logFile(name))) {
                continue;
            }
            try (Stream<String> lines = Files.lines(logFile(name))) {
                lines.filter(line -> texts.stream().anyMatch(line::contains))
                        .forEach(line -> found.add(name + ": " + line));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return found;
    }

    private List<Process> killAll() {
        List<Process> running = List.copyOf(processes.values());
        processes.clear();
        running.forEach(Process::destroyForcibly);
        return running;
    }

    /**
     * Waits up to 10 s for pending starts and signals, then kills the running controllers and waits up to 10 s for the
     * exit of each. It does not wait for controllers that were killed or terminated before.
     */
    @Override
    public void close() {
        executor.shutdown();
        try {
            // Waits for a start in progress, so that its process is killed below as well.
            executor.awaitTermination(CLOSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            List<Process> killed = killAll();
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            for (Process process : killed) {
                process.waitFor(CLOSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
