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

/** The entry point of the process: starts the daemon, or prints why it cannot be started. */
public final class Main {
    private static final int EXIT_OK = 0;
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;

    /**
     * The action that starts the daemon. Empty if no valid settings have been read or if only a check was requested.
     */
    private Optional<Runnable> startAction = Optional.empty();

    /** Reads the command line and the settings, then starts the daemon. Exits with a status above 0 on failure. */
    public static void main(String[] args) {
        configureLogging(System.getenv());
        // Must precede the first use of XNIO, which would otherwise set up a management server.
        DisabledMBeanServerBuilder.install();
        Main main = new Main();
        int exitCode = main.processCommandLine(args);
        if (exitCode != EXIT_OK) {
            System.exit(exitCode);
        }
        // Must be the last step of the main thread: the Java virtual machine can crash if the main thread loads classes
        // while the event loop reads from sockets for the first time.
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

    /** Parses the command line and reads the settings files that it names. Returns the exit code. */
    int processCommandLine(String... arguments) {
        Optional<StartOptions> options = StartOptions.parsePlatformCommandLine(arguments);
        return options.isPresent()
                ? readSettings(options.get())
                : CommandLineInterface.execute(arguments, this::readSettings);
    }

    private int readSettings(StartOptions options) {
        final Settings settings;
        final OperatorSettings operatorSettings;
        try {
            settings = Settings.read(options.config());
            operatorSettings = options.operatorSettings() == null
                    ? OperatorSettings.DEFAULTS
                    : OperatorSettings.read(options.operatorSettings());
        } catch (MalformedMessageException e) {
            System.err.println("gullway: " + e.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
        if (!options.checkOnly()) {
            startAction = Optional.of(() -> Daemon.start(settings, operatorSettings));
        }
        return EXIT_OK;
    }
}
