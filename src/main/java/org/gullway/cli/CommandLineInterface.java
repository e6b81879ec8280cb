package org.gullway.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.function.ToIntFunction;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line with all its options, its help and its error messages. */
@Command(
        name = "gullway",
        mixinStandardHelpOptions = true,
        versionProvider = CommandLineInterface.ManifestVersion.class,
        description = "Schedules users' jobs on provisioned machines. One process runs on every controller node.")
public final class CommandLineInterface implements Callable<Integer> {
    private final ToIntFunction<StartOptions> action;

    @Option(
            names = StartOptions.CONFIG,
            required = true,
            paramLabel = "FILE",
            description = "settings file that the platform provides (TOML)")
    private Path config;

    @Option(
            names = StartOptions.OPERATOR_SETTINGS,
            paramLabel = "FILE",
            description = "optional settings file that the operators provide (XML)")
    private Path operatorSettings;

    @Option(names = "--check", description = "check the settings and exit")
    private boolean checkOnly;

    /** Reads the version from the jar's manifest. */
    static final class ManifestVersion implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = CommandLineInterface.class.getPackage().getImplementationVersion();
            return new String[] {"gullway " + (version == null ? "(development)" : version)};
        }
    }

    private CommandLineInterface(ToIntFunction<StartOptions> action) {
        this.action = action;
    }

    /** Parses the arguments and, if they are valid, runs the action; returns the exit code. */
    public static int execute(String[] arguments, ToIntFunction<StartOptions> action) {
        return new CommandLine(new CommandLineInterface(action)).execute(arguments);
    }

    @Override
    public Integer call() {
        return action.applyAsInt(new StartOptions(config, operatorSettings, checkOnly));
    }
}
