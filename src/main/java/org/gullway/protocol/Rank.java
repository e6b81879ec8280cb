package org.gullway.protocol;

/** Priority of a job, highest first. */
public enum Rank {
    PROD,
    HIGH,
    NORMAL,
    IDLE;

    static Rank of(String wire) throws MalformedException {
        return switch (wire) {
            case "prod" -> PROD;
            case "high" -> HIGH;
            case "normal" -> NORMAL;
            case "idle" -> IDLE;
            default -> throw new MalformedException("rank is none of prod, high, normal, idle");
        };
    }

    String wire() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
