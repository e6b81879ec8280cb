package org.gullway.cli;

import java.nio.file.Path;
import java.util.Optional;

/**
 * What a process is started with.
 *
 * @param config the platform's settings (TOML)
 * @param operatorSettings the operators' own settings (XML); null if none were given
 * @param checkOnly whether to exit after both files were read
 */
public record StartOptions(Path config, Path operatorSettings, boolean checkOnly) {
    static final String CONFIG = "--config";
    static final String OPERATOR_SETTINGS = "--operator-settings";

    /**
     * Parses a command line of the form in which platforms start controllers: the settings file and, at most, that of
     * the operators. Any other is left to the command line library, whose classes cannot be in the class-data archive:
     * loading them would slow every start down.
     *
     * @return nothing if the command line has another form
     */
    public static Optional<StartOptions> parsePlain(String[] arguments) {
        if (arguments.length == 2 && arguments[0].equals(CONFIG)) {
            return Optional.of(new StartOptions(Path.of(arguments[1]), null, false));
        }
        if (arguments.length == 4 && arguments[0].equals(CONFIG) && arguments[2].equals(OPERATOR_SETTINGS)) {
            return Optional.of(new StartOptions(Path.of(arguments[1]), Path.of(arguments[3]), false));
        }
        return Optional.empty();
    }
}
