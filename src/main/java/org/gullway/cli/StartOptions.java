package org.gullway.cli;

import java.nio.file.Path;

/**
 * What a process was asked to do.
 *
 * @param config the platform's settings (TOML)
 * @param operatorSettings operators' own settings (XML); null if none were given
 * @param checkOnly whether to end after both files were read
 */
public record StartOptions(Path config, Path operatorSettings, boolean checkOnly) {
    static final String CONFIG = "--config";
    static final String OPERATOR_SETTINGS = "--operator-settings";

    /**
     * The options if the command line is one with which platforms start controllers: the settings file and, at most,
     * that of the operators; null for any other, which the command line library reads. That library is built for such
     * an old Java that its classes cannot be in the class-data archive, and was a tenth of the processor time of a start.
     */
    public static StartOptions ofPlain(String[] arguments) {
        if (arguments.length == 2 && arguments[0].equals(CONFIG)) {
            return new StartOptions(Path.of(arguments[1]), null, false);
        }
        if (arguments.length == 4 && arguments[0].equals(CONFIG) && arguments[2].equals(OPERATOR_SETTINGS)) {
            return new StartOptions(Path.of(arguments[1]), Path.of(arguments[3]), false);
        }
        return null;
    }
}
