package org.gullway.protocol;

import java.util.Locale;

/** The priority of a job; the constants are in descending order. */
public enum Priority {
    PROD,
    HIGH,
    NORMAL,
    IDLE;

    static Priority of(String wireName) throws MalformedMessageException {
        return switch (wireName) {
            case "prod" -> PROD;
            case "high" -> HIGH;
            case "normal" -> NORMAL;
            case "idle" -> IDLE;
            default -> throw new MalformedMessageException("rank is none of prod, high, normal, idle");
        };
    }

    String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
