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
 * Operators' own settings, beyond the platform's file. All have defaults.
 *
 * @param membershipLease how long a controller that is not heard of stays a member
 * @param spareShare room kept free for urgent work, as a share of what urgent work uses now
 * @param idleReturn how long a machine stays without tasks before it is returned
 * @param bootPatience how many times its usual boot time a machine may take
 * @param logInterval pause between two lines of figures in the log
 */
public record OperatorSettings(
        Duration membershipLease, double spareShare, Duration idleReturn, int bootPatience, Duration logInterval) {
    public static final OperatorSettings DEFAULTS =
            new OperatorSettings(Duration.ofSeconds(6), 0.5, Duration.ofSeconds(45), 4, Duration.ofSeconds(10));

    public OperatorSettings {
        if (membershipLease.compareTo(Duration.ofSeconds(1)) < 0
                || membershipLease.compareTo(Duration.ofMinutes(10)) > 0) {
            throw new IllegalArgumentException("membership-lease-s is not from 1 to 600");
        }
        if (!(spareShare >= 0 && spareShare <= 100)) {
            throw new IllegalArgumentException("spare-share is not from 0 to 100");
        }
        if (bootPatience < 1 || bootPatience > 100) {
            throw new IllegalArgumentException("boot-patience is not from 1 to 100");
        }
        if (idleReturn.isNegative() || logInterval.compareTo(Duration.ofSeconds(1)) < 0) {
            throw new IllegalArgumentException("idle-return-s is below 0 or log-interval-s below 1");
        }
    }

    /**
     * Reads the XML file; settings that it does not name have their defaults.
     *
     * @throws MalformedException with one line for the operator, if the file cannot be read or a value is not allowed
     */
    public static OperatorSettings read(Path file) throws MalformedException {
        JsonNode tree;
        try (var in = Files.newInputStream(file)) {
            tree = new XmlMapper().readTree(in);
        } catch (JacksonException e) {
            throw new MalformedException(file + " is not XML: " + MalformedException.inOneLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw new MalformedException("cannot read " + file + ": " + e.getMessage());
        }
        return of(tree);
    }

    static OperatorSettings of(JsonNode tree) throws MalformedException {
        OperatorSettings s = DEFAULTS;
        for (Map.Entry<String, JsonNode> entry : tree.properties()) {
            String name = entry.getKey();
            try {
                double value = Double.parseDouble(entry.getValue().asText().trim());
                Duration span = Double.isFinite(value) ? Duration.ofMillis(Math.round(value * 1000)) : Duration.ZERO;
                s = switch (name) {
                    case "membership-lease-s" -> new OperatorSettings(
                            span, s.spareShare, s.idleReturn, s.bootPatience, s.logInterval);
                    case "spare-share" -> new OperatorSettings(
                            s.membershipLease, value, s.idleReturn, s.bootPatience, s.logInterval);
                    case "idle-return-s" -> new OperatorSettings(
                            s.membershipLease, s.spareShare, span, s.bootPatience, s.logInterval);
                    case "boot-patience" -> new OperatorSettings(
                            s.membershipLease, s.spareShare, s.idleReturn, (int) value, s.logInterval);
                    case "log-interval-s" -> new OperatorSettings(
                            s.membershipLease, s.spareShare, s.idleReturn, s.bootPatience, span);
                    default -> throw new MalformedException("operator setting " + name + " is unknown");
                };
            } catch (NumberFormatException e) {
                throw new MalformedException("operator setting " + name + " is not a number");
            } catch (IllegalArgumentException e) {
                throw new MalformedException("operator setting " + e.getMessage());
            }
        }
        return s;
    }
}
