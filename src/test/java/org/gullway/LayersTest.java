package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Dependencies between the layers point one way, and names of the wire stay in one place. */
class LayersTest {
    private static final Path SOURCES = Path.of("src/main/java/org/gullway");
    private static final Map<String, Set<String>> MAY_USE = Map.of(
            "transport", Set.of(),
            "protocol", Set.of(),
            "coordination", Set.of("protocol"),
            "bookkeeping", Set.of("coordination", "protocol", "transport"),
            "requests", Set.of("bookkeeping", "coordination", "protocol", "transport"));

    private static List<Path> files(String layer) throws IOException {
        try (Stream<Path> files = Files.list(SOURCES.resolve(layer))) {
            return files.filter(f -> f.toString().endsWith(".java")).toList();
        }
    }

    @Test
    void dependenciesPointOneWay() throws IOException {
        List<String> wrong = new ArrayList<>();
        for (String layer : MAY_USE.keySet()) {
            for (Path file : files(layer)) {
                String text = Files.readString(file);
                for (String other : MAY_USE.keySet()) {
                    if (!other.equals(layer)
                            && !MAY_USE.get(layer).contains(other)
                            && text.contains("org.gullway." + other + ".")) {
                        wrong.add(file + " uses " + other);
                    }
                }
            }
        }
        assertThat(wrong).isEmpty();
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
