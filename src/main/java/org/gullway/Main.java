package org.gullway;

import java.util.Map;
import org.gullway.cli.CommandLineInterface;
import org.gullway.cli.StartOptions;
import org.gullway.controller.Daemon;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.transport.DisabledMBeanServerBuilder;

/** Starts the service, or says why it cannot be started. */
public final class Main {
    private static final int FAULTY_SETTINGS = 2;

    /** Starts the service, if that is what was asked for; null otherwise. */
    private Runnable toStart;

    /** Reads the command line and the settings, then starts the daemon; exits with a code above 0 if that fails. */
    public static void main(String[] args) {
        configureLogging(System.getenv());
        DisabledMBeanServerBuilder.install();
        Main main = new Main();
        int code = main.prepare(args);
        if (code != 0) {
            System.exit(code);
        }
        if (main.toStart != null) {
            // Only now, and as the last thing: while this thread went on to load classes for the command line, the
            // event loop's first reads of sockets ended the Java machine now and then (docs/incidents/java-fault.md).
            try {
                main.toStart.run();
            } catch (RuntimeException e) {
                System.err.println("gullway: cannot start: " + e.getMessage());
                System.exit(1);
            }
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
        StartOptions plain = StartOptions.ofPlain(arguments);
        return plain == null ? CommandLineInterface.execute(arguments, this::prepare) : prepare(plain);
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
            return FAULTY_SETTINGS;
        }
        if (!options.checkOnly()) {
            toStart = () -> Daemon.start(settings, operator);
        }
        return 0;
    }
}
