package org.gullway.cli;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The options with which the process is started.
 *
 * @param config the platform's settings (TOML)
 * @param operatorSettings the operators' own settings (XML); null if none were given
 * @param checkOnly whether to exit once both files have been read and checked
 */
public record StartOptions(Path config, Path operatorSettings, boolean checkOnly) {
    static final String CONFIG = "--config";
    static final String OPERATOR_SETTINGS = "--operator-settings";

    /**
     * Parses a command line of the form with which the platform starts controllers: {@code --config FILE}, optionally
     * followed by {@code --operator-settings FILE}. All other command lines are parsed by {@link CommandLineInterface}
     * with the picocli library. The classes of that library cannot be in the class-data sharing archive, so loading
     * them would slow down every start.
     *
     * @return the options, or empty if the command line has another form
     */
    public static Optional<StartOptions> parseWithoutLibrary(String[] arguments) {
        if (arguments.length == 2 && arguments[0].equals(CONFIG)) {
            return Optional.of(new StartOptions(Path.of(arguments[1]), null, false));
        }
        if (arguments.length == 4 && arguments[0].equals(CONFIG) && arguments[2].equals(OPERATOR_SETTINGS)) {
            return Optional.of(new StartOptions(Path.of(arguments[1]), Path.of(arguments[3]), false));
        }
        return Optional.empty();
    }
}
