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

/** Dependencies between the layers point one way, and names of the wire stay in one place. */
class LayersTest {
    private static final Path SOURCES = Path.of("src/main/java/org/gullway");
    /** For each package those that it may use. */
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

    /** Only these put all others together. */
    private static final Set<String> WIRING = Set.of("", "controller");

    private static final Pattern PACKAGE = Pattern.compile("org\\.gullway\\.([a-z.]+)\\.[A-Z]");

    /** All sources, by package below that of the project. */
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

    /** Sources of the package and of all below it. */
    private static List<Path> files(String layer) throws IOException {
        List<Path> files = new ArrayList<>();
        filesByPackage().forEach((name, of) -> {
            if (name.equals(layer) || name.startsWith(layer + ".")) {
                files.addAll(of);
            }
        });
        assertThat(files).as(layer).isNotEmpty();
        return files;
    }

    @Test
    void everyPackageIsListed() throws IOException {
        Set<String> known = new TreeSet<>(MAY_USE.keySet());
        known.addAll(WIRING);
        assertThat(filesByPackage().keySet()).isEqualTo(known);
    }

    @Test
    void dependenciesPointOneWay() throws IOException {
        List<String> violations = new ArrayList<>();
        Map<String, List<Path>> files = filesByPackage();
        for (Map.Entry<String, Set<String>> layer : MAY_USE.entrySet()) {
            for (Path file : files.get(layer.getKey())) {
                Matcher used = PACKAGE.matcher(Files.readString(file));
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

    /** No package uses, directly or through others, one that uses it. */
    @Test
    void noPackagesUseEachOther() {
        Map<String, Set<String>> reachable = new TreeMap<>();
        MAY_USE.forEach((name, used) -> reachable.put(name, new TreeSet<>(used)));
        for (int i = 0; i < MAY_USE.size(); i++) {
            reachable.values().forEach(used -> List.copyOf(used).forEach(each -> used.addAll(reachable.get(each))));
        }
        reachable.forEach((name, used) -> assertThat(used).as(name).doesNotContain(name));
    }

    @Test
    void coordinationDoesNoInputOrOutputAndReadsNoClock() throws IOException {
        for (Path file : files("coordination")) {
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
    void wireNamesStayInTheProtocol() throws IOException {
        for (String layer : List.of("transport", "coordination")) {
            for (Path file : files(layer)) {
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
