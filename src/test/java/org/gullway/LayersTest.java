package org.gullway;

import static java.util.Map.entry;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that each package uses only the packages that it may use, without cycles, that the coordination packages use
 * no I/O, clock or randomness, and that neither they nor the transport package contain any of eight field names of
 * messages.
 */
class LayersTest {
    private static final Path SOURCES = Path.of("src/main/java/org/gullway");
    /** For each package, the packages of this project that it may use. */
    private static final Map<String, Set<String>> MAY_USE = Map.ofEntries(
            entry("transport", Set.of()),
            entry("protocol", Set.of()),
            entry("cli", Set.of()),
            entry("coordination", Set.of("coordination.model")),
            entry("coordination.model", Set.of("protocol")),
            entry("coordination.membership", Set.of("coordination.model")),
            entry("coordination.command", Set.of("protocol")),
            entry("coordination.cycle", Set.of("coordination.model")),
            entry("coordination.placement", Set.of("coordination.model", "protocol")),
            entry("coordination.cancellation", Set.of("coordination.command", "coordination.model", "protocol")),
            entry(
                    "coordination.quota",
                    Set.of("coordination.cycle", "coordination.model", "coordination.placement", "protocol")),
            entry(
                    "coordination.scheduling",
                    Set.of(
                            "coordination.cycle",
                            "coordination.model",
                            "coordination.placement",
                            "coordination.quota",
                            "protocol")),
            entry(
                    "coordination.scaling",
                    Set.of(
                            "coordination.cycle",
                            "coordination.model",
                            "coordination.placement",
                            "coordination.quota",
                            "protocol")),
            entry("coordination.failover", Set.of("coordination.cycle", "coordination.model", "coordination.quota")),
            entry(
                    "coordination.agents",
                    Set.of(
                            "coordination.cancellation",
                            "coordination.command",
                            "coordination.cycle",
                            "coordination.failover",
                            "coordination.model",
                            "protocol")),
            entry("storage", Set.of("coordination.membership", "coordination.model", "protocol", "transport")),
            entry(
                    "api",
                    Set.of(
                            "coordination.cancellation",
                            "coordination.cycle",
                            "coordination.model",
                            "coordination.placement",
                            "coordination.quota",
                            "protocol",
                            "storage",
                            "transport")),
            entry("observability", Set.of("api", "coordination.model")),
            entry(
                    "cloud",
                    Set.of(
                            "coordination.cycle",
                            "coordination.failover",
                            "coordination.model",
                            "coordination.placement",
                            "coordination.scaling",
                            "protocol",
                            "transport")),
            entry(
                    "peer",
                    Set.of(
                            "coordination.agents",
                            "coordination.cancellation",
                            "coordination.membership",
                            "coordination.model",
                            "coordination.scheduling",
                            "protocol",
                            "transport")),
            entry(
                    "agent",
                    Set.of(
                            "coordination.agents",
                            "coordination.cancellation",
                            "coordination.command",
                            "coordination.model",
                            "observability",
                            "protocol",
                            "storage",
                            "transport")));

    /** The packages that create and connect all components, and therefore may use every package. */
    private static final Set<String> UNRESTRICTED = Set.of("", "controller");

    private static final Pattern PACKAGE_OF_CLASS = Pattern.compile("org\\.gullway\\.([a-z.]+)\\.[A-Z]");

    /** All source files by package, as the name below org.gullway; the root package has the empty name. */
    private static Map<String, List<Path>> filesByPackage() throws IOException {
        Map<String, List<Path>> files = new TreeMap<>();
        try (Stream<Path> all = Files.walk(SOURCES)) {
            all.filter(file -> file.toString().endsWith(".java")).forEach(file -> files.computeIfAbsent(
                            SOURCES.relativize(file.getParent()).toString().replace('/', '.'),
                            name -> new ArrayList<>())
                    .add(file));
        }
        return files;
    }

    /** The source files of the package and of its subpackages. */
    private static List<Path> filesBelow(String layer) throws IOException {
        List<Path> files = new ArrayList<>();
        filesByPackage().forEach((name, sources) -> {
            if (name.equals(layer) || name.startsWith(layer + ".")) {
                files.addAll(sources);
            }
        });
        assertThat(files).as(layer).isNotEmpty();
        return files;
    }

    @Test
    void everyPackageIsListed() throws IOException {
        Set<String> listed = new TreeSet<>(MAY_USE.keySet());
        listed.addAll(UNRESTRICTED);
        assertThat(filesByPackage().keySet()).isEqualTo(listed);
    }

    @Test
    void packagesUseOnlyTheirAllowedPackages() throws IOException {
        List<String> violations = new ArrayList<>();
        Map<String, List<Path>> files = filesByPackage();
        for (Map.Entry<String, Set<String>> layer : MAY_USE.entrySet()) {
            for (Path file : files.get(layer.getKey())) {
                Matcher used = PACKAGE_OF_CLASS.matcher(Files.readString(file));
                while (used.find()) {
                    String other = used.group(1);
                    if (!other.equals(layer.getKey()) && !layer.getValue().contains(other)) {
                        violations.add(file + " uses " + other);
                    }
                }
            }
        }
        assertThat(violations).isEmpty();
    }

    /** Checks the list of allowed dependencies: no package may reach itself, directly or through other packages. */
    @Test
    void allowedDependenciesHaveNoCycle() {
        Map<String, Set<String>> reachable = new TreeMap<>();
        MAY_USE.forEach((name, used) -> reachable.put(name, new TreeSet<>(used)));
        for (int i = 0; i < MAY_USE.size(); i++) {
            reachable.values().forEach(used -> List.copyOf(used).forEach(each -> used.addAll(reachable.get(each))));
        }
        reachable.forEach((name, used) -> assertThat(used).as(name).doesNotContain(name));
    }

    @Test
    void coordinationUsesNoIoClockOrRandomness() throws IOException {
        for (Path file : filesBelow("coordination")) {
            assertThat(Files.readString(file))
                    .as(file.toString())
                    .doesNotContain(
                            "java.io",
                            "java.nio",
                            "java.net",
                            "org.xnio",
                            "io.undertow",
                            "System.nanoTime",
                            "currentTimeMillis",
                            "Instant.now",
                            "new Random",
                            "ThreadLocalRandom");
        }
    }

    @Test
    void transportAndCoordinationContainNoFieldNamesOfMessages() throws IOException {
        for (String layer : List.of("transport", "coordination")) {
            for (Path file : filesBelow(layer)) {
                assertThat(Files.readString(file))
                        .as(file.toString())
                        .doesNotContain(
                                "\"herd\"",
                                "\"baton\"",
                                "\"roost\"",
                                "\"launch\"",
                                "\"flight\"",
                                "\"perch\"",
                                "\"leg\"",
                                "\"tide\"");
            }
        }
    }
}
