package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that every outer name still occurs in the sources, letter for letter. The outer names are the names of the
 * external interface: fields and values of messages, settings and stored records, keys of the state store, command-line
 * options, environment variables, metrics, and keys of log lines. Guards against a rename of an identifier that also
 * changes such a name, which would break users, agents, peers of another version, and operators' tools.
 */
class OuterNamesTest {
    private static final Path NAMES = Path.of("src/test/resources/golden/outer-names.txt");
    private static final Path SOURCES = Path.of("src/main/java");
    private static final List<Path> OTHER_FILES = List.of(Path.of("deploy/service.toml"), Path.of("pom.xml"));
    /** Matches enum constants. Log lines and options show them by their declared names, so the code is searched too. */
    private static final Pattern CONSTANT = Pattern.compile("[A-Z][A-Z_]*");

    /** A comment, or a string literal as group 1. */
    private static final Pattern COMMENT_OR_LITERAL =
            Pattern.compile("//[^\\n]*|/\\*.*?\\*/|(\"(?:\\\\.|[^\"\\\\\\n])*\")", Pattern.DOTALL);
    /** Options that the command-line library adds, so that they do not occur in the sources. */
    private static final List<String> LIBRARY_OPTIONS = List.of("--help", "--version");

    private static String sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            StringBuilder all = new StringBuilder();
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                all.append(Files.readString(file)).append('\n');
            }
            return all.toString();
        }
    }

    private static String literalsOf(String sources) {
        Matcher matcher = COMMENT_OR_LITERAL.matcher(sources);
        return matcher.results()
                .map(match -> match.group(1))
                .filter(Objects::nonNull)
                .collect(Collectors.joining("\n"));
    }

    private static boolean isWordIn(String name, String text) {
        return Pattern.compile("(?<![A-Za-z0-9_-])" + Pattern.quote(name) + "(?![A-Za-z0-9_-])")
                .matcher(text)
                .find();
    }

    private static boolean isLogKeyIn(String name, String literals) {
        return Pattern.compile("(?<![A-Za-z0-9_])" + Pattern.quote(name))
                .matcher(literals)
                .find();
    }

    private static String otherFiles() throws IOException {
        StringBuilder all = new StringBuilder();
        for (Path file : OTHER_FILES) {
            all.append(Files.readString(file)).append('\n');
        }
        return all.toString();
    }

    @Test
    void everyOuterNameIsInTheSources() throws IOException {
        String sources = sources();
        String literals = literalsOf(sources);
        String code = COMMENT_OR_LITERAL.matcher(sources).replaceAll(" ");
        String others = otherFiles();
        List<String> names = Files.readAllLines(NAMES);
        assertThat(names).hasSizeGreaterThan(250).doesNotHaveDuplicates();
        assertThat(names).filteredOn(name -> !LIBRARY_OPTIONS.contains(name)).allSatisfy(name -> {
            boolean found;
            if (name.endsWith("=")) {
                found = isLogKeyIn(name, literals);
            } else if (CONSTANT.matcher(name).matches()) {
                found = isWordIn(name, code) || isWordIn(name, literals);
            } else {
                found = literals.contains('"' + name + '"') || isWordIn(name, others);
            }
            assertThat(found).as("external interface name %s", name).isTrue();
        });
    }
}
