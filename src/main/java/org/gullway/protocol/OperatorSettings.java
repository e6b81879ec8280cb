package org.gullway.protocol;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.xml.XmlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;

/**
 * Settings that operators choose, in a file separate from the platform's settings file. All have defaults.
 *
 * @param membershipLease how long a controller stays a member without renewing its lease
 * @param spareCapacityFraction capacity kept free for urgent work, as a fraction of what urgent work uses now
 * @param scaleInDelay how long a machine must be without tasks before it is released
 * @param bootTimeoutFactor how long a machine may take to boot, as a multiple of its type's usual boot time; a
 *     fraction in the file is cut off
 * @param logInterval time between two log lines with metrics
 */
public record OperatorSettings(
        Duration membershipLease,
        double spareCapacityFraction,
        Duration scaleInDelay,
        int bootTimeoutFactor,
        Duration logInterval) {
    public static final OperatorSettings DEFAULTS =
            new OperatorSettings(Duration.ofSeconds(6), 0.5, Duration.ofSeconds(45), 4, Duration.ofSeconds(10));

    public OperatorSettings {
        if (membershipLease.compareTo(Duration.ofSeconds(1)) < 0
                || membershipLease.compareTo(Duration.ofMinutes(10)) > 0) {
            throw new IllegalArgumentException(
                    "membership-lease-s must be from 1 to 600 seconds, got " + membershipLease);
        }
        if (!(spareCapacityFraction >= 0 && spareCapacityFraction <= 100)) {
            throw new IllegalArgumentException("spare-share must be from 0 to 100, got " + spareCapacityFraction);
        }
        if (bootTimeoutFactor < 1 || bootTimeoutFactor > 100) {
            throw new IllegalArgumentException("boot-patience must be from 1 to 100, got " + bootTimeoutFactor);
        }
        if (scaleInDelay.isNegative() || logInterval.compareTo(Duration.ofSeconds(1)) < 0) {
            throw new IllegalArgumentException("idle-return-s must be at least 0 seconds, got " + scaleInDelay
                    + ", and log-interval-s at least 1 second, got " + logInterval);
        }
    }

    /**
     * Reads the XML file. Settings that are not in the file have their defaults.
     *
     * @throws MalformedMessageException if the file cannot be read or a value is not allowed; its message is one line
     */
    public static OperatorSettings read(Path file) throws MalformedMessageException {
        JsonNode root;
        try (var in = Files.newInputStream(file)) {
            root = new XmlMapper().readTree(in);
        } catch (JacksonException e) {
            throw new MalformedMessageException(
                    file + " is not XML: " + MalformedMessageException.toSingleLine(e.getOriginalMessage()), e);
        } catch (IOException e) {
            throw new MalformedMessageException("cannot read " + file + ": " + e, e);
        }
        return of(root);
    }

    static OperatorSettings of(JsonNode root) throws MalformedMessageException {
        OperatorSettings settings = DEFAULTS;
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            String name = entry.getKey();
            try {
                settings = settings.with(
                        name, Double.parseDouble(entry.getValue().asText().trim()));
            } catch (NumberFormatException e) {
                throw new MalformedMessageException("operator setting " + name + " is not a number", e);
            } catch (IllegalArgumentException e) {
                throw new MalformedMessageException("operator setting " + e.getMessage(), e);
            }
        }
        return settings;
    }

    private OperatorSettings with(String name, double value) throws MalformedMessageException {
        // A value that is not finite becomes 0 seconds; the constructor then checks whether 0 is allowed.
        Duration duration = Double.isFinite(value) ? Duration.ofMillis(Math.round(value * 1000)) : Duration.ZERO;
        return switch (name) {
            case "membership-lease-s" -> new OperatorSettings(
                    duration, spareCapacityFraction, scaleInDelay, bootTimeoutFactor, logInterval);
            case "spare-share" -> new OperatorSettings(
                    membershipLease, value, scaleInDelay, bootTimeoutFactor, logInterval);
            case "idle-return-s" -> new OperatorSettings(
                    membershipLease, spareCapacityFraction, duration, bootTimeoutFactor, logInterval);
            case "boot-patience" -> new OperatorSettings(
                    membershipLease, spareCapacityFraction, scaleInDelay, (int) value, logInterval);
            case "log-interval-s" -> new OperatorSettings(
                    membershipLease, spareCapacityFraction, scaleInDelay, bootTimeoutFactor, duration);
            default -> throw new MalformedMessageException("operator setting " + name + " is unknown");
        };
    }
}
