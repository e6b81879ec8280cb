package org.gullway.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A file of expected encodings that an earlier version of the code recorded. Each line is an entry: its name, and its
 * bytes in hexadecimal. A missing entry fails the test, or is added if the system property {@code golden.record} is
 * true. An existing entry is never changed.
 */
public final class GoldenFile {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private final Path path;
    private final Map<String, byte[]> entries = new TreeMap<>();

    private GoldenFile(Path path) {
        this.path = path;
    }

    /** Reads the golden file with this name, without its extension, from the test resources. */
    public static GoldenFile of(String name) {
        GoldenFile file = new GoldenFile(DIRECTORY.resolve(name + ".txt"));
        file.read();
        return file;
    }

    private void read() {
        if (!Files.exists(path)) {
            return;
        }
        try {
            for (String line : Files.readAllLines(path)) {
                int space = line.indexOf(' ');
                entries.put(line.substring(0, space), HexFormat.of().parseHex(line, space + 1, line.length()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Joins the values to one line of text, separated by vertical bars. */
    public static String line(Object... values) {
        return Stream.of(values).map(String::valueOf).collect(Collectors.joining("|"));
    }

    /** Returns the position of a constant in its enum. An entry then does not depend on the names of constants. */
    public static <E extends Enum<E>> int position(E constant) {
        return List.of(constant.getDeclaringClass().getEnumConstants()).indexOf(constant);
    }

    /** Returns the bytes of the entry with this name. */
    public byte[] bytes(String name) {
        assertThat(entries).as("golden entries").containsKey(name);
        return entries.get(name).clone();
    }

    /** Fails unless these bytes equal the entry with this name. */
    public void check(String name, byte[] actual) {
        if (Boolean.getBoolean("golden.record") && !entries.containsKey(name)) {
            entries.put(name, actual);
            write();
        }
        assertThat(HexFormat.of().formatHex(actual))
                .as(name)
                .isEqualTo(HexFormat.of().formatHex(bytes(name)));
    }

    /** Fails unless this text, encoded as UTF-8, equals the entry with this name. */
    public void checkText(String name, String actual) {
        check(name, actual.getBytes(StandardCharsets.UTF_8));
    }

    private void write() {
        StringBuilder text = new StringBuilder();
        entries.forEach((name, bytes) -> text.append(name)
                .append(' ')
                .append(HexFormat.of().formatHex(bytes))
                .append('\n'));
        try {
            Files.createDirectories(DIRECTORY);
            Files.writeString(path, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
