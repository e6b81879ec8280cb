package org.gullway;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line. */
@Command(
        name = "gullway",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Schedules users' jobs on rented machines. One process runs on every controller.")
public final class Main implements Callable<Integer> {
    private static final int FAULTY_SETTINGS = 2;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path config;

    @Option(names = "--operator-settings", paramLabel = "FILE", description = "operators' own settings (XML)")
    private Path operatorSettings;

    @Option(names = "--check", description = "check the settings and exit")
    private boolean checkOnly;

    /** Starts the service, if that is what was asked for; null otherwise. */
    private Runnable toStart;

    /** The version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"gullway " + (version == null ? "(development)" : version)};
        }
    }

    /** Reads the command line and the settings, then starts the daemon; exits with a code above 0 if that fails. */
    public static void main(String[] args) {
        configureLogging(System.getenv());
        Main main = new Main();
        int code = new CommandLine(main).execute(args);
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

    @Override
    public Integer call() {
        final Settings settings;
        final OperatorSettings operator;
        try {
            settings = Settings.read(config);
            operator = operatorSettings == null ? OperatorSettings.DEFAULTS : OperatorSettings.read(operatorSettings);
        } catch (MalformedException e) {
            System.err.println("gullway: " + e.getMessage());
            return FAULTY_SETTINGS;
        }
        if (!checkOnly) {
            toStart = () -> Daemon.start(settings, operator);
        }
        return 0;
    }
}
