package org.gullway;

import java.util.Map;
import java.util.Optional;
import org.gullway.cli.CommandLineInterface;
import org.gullway.cli.StartOptions;
import org.gullway.controller.Daemon;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.transport.DisabledMBeanServerBuilder;

/** Starts the service, or prints why it cannot be started. */
public final class Main {
    private static final int EXIT_OK = 0;
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;

    /** Starts the daemon; empty if only a check or the help was requested. */
    private Optional<Runnable> startAction = Optional.empty();

    /** Reads the command line and the settings, then starts the daemon; exits with a code above 0 if that fails. */
    public static void main(String[] args) {
        configureLogging(System.getenv());
        DisabledMBeanServerBuilder.install();
        Main main = new Main();
        int code = main.prepare(args);
        if (code != EXIT_OK) {
            System.exit(code);
        }
        // The last step of this thread: if it went on to load classes during the event loop's first reads of sockets,
        // the Java virtual machine could crash.
        main.start();
    }

    private void start() {
        if (startAction.isEmpty()) {
            return;
        }
        try {
            startAction.get().run();
        } catch (RuntimeException e) {
            System.err.println("gullway: cannot start: " + e.getMessage());
            System.exit(EXIT_START_FAILED);
        }
    }

    private static void configureLogging(Map<String, String> environment) {
        String level = environment.getOrDefault("LOG_LEVEL", "info");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.gullway", level);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }

    /** Reads the command line and the settings that it names; returns the exit code. */
    int prepare(String... arguments) {
        Optional<StartOptions> plain = StartOptions.parsePlain(arguments);
        return plain.isPresent() ? prepare(plain.get()) : CommandLineInterface.execute(arguments, this::prepare);
    }

    private int prepare(StartOptions options) {
        final Settings settings;
        final OperatorSettings operator;
        try {
            settings = Settings.read(options.config());
            operator = options.operatorSettings() == null
                    ? OperatorSettings.DEFAULTS
                    : OperatorSettings.read(options.operatorSettings());
        } catch (MalformedMessageException e) {
            System.err.println("gullway: " + e.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
        if (!options.checkOnly()) {
            startAction = Optional.of(() -> Daemon.start(settings, operator));
        }
        return EXIT_OK;
    }
}
