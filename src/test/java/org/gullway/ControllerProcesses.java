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
 * Controllers as processes of their own, with their logs. A thread of this class starts and signals them, since that
 * would block an event loop for long.
 */
final class ControllerProcesses implements AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(10);

    private final List<String> command;
    private final Map<String, List<String>> commandsByController = new ConcurrentHashMap<>();
    private final String logLevel;
    private final Path directory;
    private final Consumer<String> ended;
    private final Map<String, Process> processes = new ConcurrentSkipListMap<>();
    private final ExecutorService starter = Executors.newSingleThreadExecutor();
    /** Ends the processes also when this one is ended from outside. */
    private final Thread atShutdown = new Thread(this::killAll);

    /**
     * @param command starts a controller, up to its options
     * @param directory holds the settings of each controller, and gets its log
     * @param ended is notified, on any thread, of controllers that end by themselves or cannot be started
     */
    ControllerProcesses(List<String> command, String logLevel, Path directory, Consumer<String> ended) {
        this.command = List.copyOf(command);
        this.logLevel = logLevel;
        this.directory = directory;
        this.ended = ended;
        Runtime.getRuntime().addShutdownHook(atShutdown);
    }

    /** Sets the command with which this controller is started from now on, instead of the command of all controllers. */
    void useCommand(String name, List<String> ownCommand) {
        commandsByController.put(name, List.copyOf(ownCommand));
    }

    /** Starts the controller unless it runs. */
    void start(String name, Path settings, Path operatorSettings) {
        starter.execute(() -> processes.computeIfAbsent(name, n -> startProcess(n, settings, operatorSettings)));
    }

    private Process startProcess(String name, Path settings, Path operatorSettings) {
        List<String> whole = new ArrayList<>(commandsByController.getOrDefault(name, command));
        whole.addAll(List.of("--config", settings.toString(), "--operator-settings", operatorSettings.toString()));
        ProcessBuilder builder = new ProcessBuilder(whole);
        builder.environment().put("LOG_LEVEL", logLevel);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        try {
            Process process = builder.start();
            CompletableFuture<Void> unused = process.onExit().thenAccept(exited -> onExit(name, exited));
            return process;
        } catch (IOException e) {
            ended.accept(name + " cannot be started: " + e);
            return null;
        }
    }

    private void onExit(String name, Process process) {
        if (processes.remove(name, process)) {
            ended.accept(
                    name + " ended by itself, with code " + process.exitValue() + ", its last line: " + lastLine(name));
        }
    }

    private String lastLine(String name) {
        try {
            List<String> lines = Files.readAllLines(log(name));
            return lines.isEmpty() ? "none" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "unreadable: " + e.getMessage();
        }
    }

    /** Ends the process at once, as a crash does. */
    void kill(String name) {
        starter.execute(() -> {
            Process process = processes.remove(name);
            if (process != null) {
                process.destroyForcibly();
            }
        });
    }

    /** Asks the process to end, so that it can write its recordings. */
    void terminate(String name) {
        starter.execute(() -> {
            Process process = processes.remove(name);
            if (process != null) {
                process.destroy();
            }
        });
    }

    /** Suspends the process, or resumes it. */
    void pause(String name, boolean on) {
        starter.execute(() -> {
            Process process = processes.get(name);
            if (process != null) {
                signal(process, on ? "-STOP" : "-CONT");
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

    /** Ids of the processes that run now, by controller. */
    Map<String, Long> ids() {
        Map<String, Long> ids = new TreeMap<>();
        processes.forEach((name, process) -> ids.put(name, process.pid()));
        return ids;
    }

    private Path log(String name) {
        return directory.resolve(name + ".log");
    }

    /** Lines of these controllers' logs that contain any of these texts. */
    List<String> logLines(List<String> names, List<String> texts) {
        List<String> found = new ArrayList<>();
        for (String name : names) {
            if (!Files.exists(log(name))) {
                continue;
            }
            try (Stream<String> lines = Files.lines(log(name))) {
                lines.filter(line -> texts.stream().anyMatch(line::contains))
                        .forEach(line -> found.add(name + ": " + line));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return found;
    }

    private List<Process> killAll() {
        List<Process> all = List.copyOf(processes.values());
        processes.clear();
        all.forEach(Process::destroyForcibly);
        return all;
    }

    /** Ends all processes and waits for their ends. */
    @Override
    public void close() {
        starter.shutdown();
        try {
            // A process that is being started now has to be ended as well.
            starter.awaitTermination(CLOSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            List<Process> all = killAll();
            Runtime.getRuntime().removeShutdownHook(atShutdown);
            for (Process process : all) {
                process.waitFor(CLOSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
