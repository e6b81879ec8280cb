package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the class names, with or without a member, on the architecture, design and glossary pages: the class must
 * exist, and the name of the member must occur in its source file.
 */
class ArchitecturePageTest {
    private static final Path SOURCES = Path.of("src/main/java/org/gullway");
    /** A class name in backquotes, optionally with a member, such as {@code Transaction.putJob}. */
    private static final Pattern NAME = Pattern.compile("`([A-Z][a-z][A-Za-z]+)(?:\\.([A-Za-z_]+))?`");
    /** The heading above the names that no longer exist; the text from here on is not checked. */
    private static final String FORMER_NAMES_HEADING = "## Former names";

    /** Class names on the pages that belong to the JDK. */
    private static final List<String> JDK_CLASSES = List.of("InstantSource");

    private static Map<String, String> sourcesByClass() throws IOException {
        Map<String, String> sources = new TreeMap<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                sources.put(file.getFileName().toString().replace(".java", ""), Files.readString(file));
            }
        }
        // The pages also name this test, which is not in src/main/java.
        sources.put("LayersTest", "");
        return sources;
    }

    private static List<String> missing(String page) throws IOException {
        Map<String, String> sources = sourcesByClass();
        List<String> missing = new ArrayList<>();
        String text = Files.readString(Path.of("docs", page));
        Matcher names = NAME.matcher(text.split(FORMER_NAMES_HEADING, -1)[0]);
        while (names.find()) {
            String type = names.group(1);
            String member = names.group(2);
            if (JDK_CLASSES.contains(type)) {
                continue;
            }
            String source = sources.get(type);
            if (source == null
                    || (member != null
                            && !Pattern.compile("\\b" + member + "\\b")
                                    .matcher(source)
                                    .find())) {
                missing.add(names.group());
            }
        }
        return missing;
    }

    @ParameterizedTest
    @ValueSource(strings = {"architecture.md", "design.md", "glossary.md"})
    void namesOnThePageExist(String page) throws IOException {
        assertThat(missing(page)).isEmpty();
    }
}
