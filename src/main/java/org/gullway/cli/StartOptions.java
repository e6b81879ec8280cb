package org.gullway.cli;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The options with which the process is started.
 *
 * @param config the settings file that the platform provides (TOML)
 * @param operatorSettings the optional settings file that the operators provide (XML), or null
 * @param checkOnly whether to exit once both files have been read and checked
 */
public record StartOptions(Path config, Path operatorSettings, boolean checkOnly) {
    static final String CONFIG = "--config";
    static final String OPERATOR_SETTINGS = "--operator-settings";

    /**
     * Parses the exact command line with which the platform starts controllers: {@code --config FILE}, optionally
     * followed by {@code --operator-settings FILE}. {@link CommandLineInterface} parses all other command lines with
     * the picocli library. Picocli is not used for every start because its classes cannot be in the class-data
     * sharing archive, and loading them without the archive takes time.
     *
     * @return the options, or empty if the command line has another form
     */
    public static Optional<StartOptions> parsePlatformCommandLine(String[] arguments) {
        if (arguments.length == 2 && arguments[0].equals(CONFIG)) {
            return Optional.of(new StartOptions(Path.of(arguments[1]), null, false));
        }
        if (arguments.length == 4 && arguments[0].equals(CONFIG) && arguments[2].equals(OPERATOR_SETTINGS)) {
            return Optional.of(new StartOptions(Path.of(arguments[1]), Path.of(arguments[3]), false));
        }
        return Optional.empty();
    }
}
