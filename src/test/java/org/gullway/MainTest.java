package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A faulty settings file ends the start with one line that names the field, and with exit code 2. */
class MainTest {
    @TempDir
    private Path directory;

    private record Ending(int code, String errors) {}

    private Ending run(String toml, String xml) throws IOException {
        Path config = Files.writeString(directory.resolve("site.toml"), toml);
        Path operator = Files.writeString(directory.resolve("operator.xml"), xml);
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        PrintStream before = System.err;
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            Ending ending = run(errors, "--config", config.toString(), "--operator-settings", operator.toString());
            // The command line library parses this form, which the platform does not use: the outcome has to be the
            // same.
            assertThat(run(errors, "--check", "--config=" + config, "--operator-settings=" + operator))
                    .isEqualTo(ending);
            return ending;
        } finally {
            System.setErr(before);
        }
    }

    private static Ending run(ByteArrayOutputStream errors, String... arguments) {
        errors.reset();
        int code = new Main().prepare(arguments);
        return new Ending(code, errors.toString(StandardCharsets.UTF_8));
    }

    private static String valid() {
        return ClassArchiveTraining.settings("127.0.0.1:18080", "127.0.0.2:18080", "127.0.0.3:18080");
    }

    private static void assertFaulty(Ending ending, String field) {
        assertThat(ending.code()).isEqualTo(2);
        assertThat(ending.errors().lines()).hasSize(1);
        assertThat(ending.errors()).contains(field);
    }

    @Test
    void validFilesAreAccepted() throws IOException {
        assertThat(run(valid(), "<gullway/>")).isEqualTo(new Ending(0, ""));
    }

    @Test
    void aWrongCommandLineEndsWithTheUsage() throws IOException {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        PrintStream before = System.err;
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            for (String[] arguments :
                    new String[][] {{}, {"--config"}, {"--colour", "red"}, {"site.toml", "--config"}}) {
                Ending ending = run(errors, arguments);
                assertThat(ending.code()).isEqualTo(2);
                assertThat(ending.errors()).contains("--config=FILE");
            }
        } finally {
            System.setErr(before);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "lease_s = 20.0,lease_s = \"x\",lease_s",
        "report_s = 0.5,,report_s",
        "cpus_max = 32.0,cpus_max = -1.0,cpus_max",
        "txn_ops = 24,txn_ops = 2.5,txn_ops",
        "sockets = 1000,sockets = 99999999999999999999,sockets",
        "node_name = \"perch-0\",node_name = 7,node_name",
        "value_kb = 16.0,value_kb = [],value_kb",
        "[facts.cloud],[facts.cloudy],cloud"
    })
    void faultyTomlFieldsAreNamed(String original, String replacement, String field) throws IOException {
        assertFaulty(run(valid().replace(original, replacement == null ? "" : replacement), "<gullway/>"), field);
    }

    @ParameterizedTest
    @CsvSource({"node_name = ", "= = =", "[[[", "'node_name = \"a\"\nnode_name = \"b\"'"})
    void invalidTomlNamesTheFile(String toml) throws IOException {
        assertFaulty(run(toml, "<gullway/>"), "site.toml");
    }

    @ParameterizedTest
    @CsvSource({
        "<gullway><spare-share>much</spare-share></gullway>,spare-share",
        "<gullway><boot-patience>0</boot-patience></gullway>,boot-patience",
        "<gullway><colour>red</colour></gullway>,colour",
        "<gullway><spare-share>,operator.xml",
        "plain text,operator.xml",
        "'',operator.xml"
    })
    void faultyXmlIsNamed(String xml, String field) throws IOException {
        assertFaulty(run(valid(), xml), field);
    }
}
