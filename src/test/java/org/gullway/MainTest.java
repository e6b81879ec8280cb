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

/** Tests that invalid settings are rejected with exit code 2 and with one line that names the field or the file. */
class MainTest {
    @TempDir
    private Path directory;

    private record Result(int exitCode, String errorOutput) {}

    private Result run(String toml, String xml) throws IOException {
        Path config = Files.writeString(directory.resolve("site.toml"), toml);
        Path operator = Files.writeString(directory.resolve("operator.xml"), xml);
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        PrintStream originalErr = System.err;
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            Result result = run(errors, "--config", config.toString(), "--operator-settings", operator.toString());
            // Options with "=" are parsed by picocli, unlike those above. The result of both parsers must be the same.
            assertThat(run(errors, "--check", "--config=" + config, "--operator-settings=" + operator))
                    .isEqualTo(result);
            return result;
        } finally {
            System.setErr(originalErr);
        }
    }

    private static Result run(ByteArrayOutputStream errors, String... arguments) {
        errors.reset();
        int exitCode = new Main().processCommandLine(arguments);
        return new Result(exitCode, errors.toString(StandardCharsets.UTF_8));
    }

    private static String validToml() {
        return ClassArchiveTraining.settings("127.0.0.1:18080", "127.0.0.2:18080", "127.0.0.3:18080");
    }

    private static void assertRejected(Result result, String fieldOrFile) {
        assertThat(result.exitCode()).isEqualTo(2);
        assertThat(result.errorOutput().lines()).hasSize(1);
        assertThat(result.errorOutput()).contains(fieldOrFile);
    }

    @Test
    void validFilesAreAccepted() throws IOException {
        assertThat(run(validToml(), "<gullway/>")).isEqualTo(new Result(0, ""));
    }

    @Test
    void anInvalidCommandLinePrintsTheUsage() throws IOException {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        PrintStream originalErr = System.err;
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            for (String[] arguments :
                    new String[][] {{}, {"--config"}, {"--colour", "red"}, {"site.toml", "--config"}}) {
                Result result = run(errors, arguments);
                assertThat(result.exitCode()).isEqualTo(2);
                assertThat(result.errorOutput()).contains("--config=FILE");
            }
        } finally {
            System.setErr(originalErr);
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
    void errorNamesTheInvalidTomlField(String original, String replacement, String field) throws IOException {
        assertRejected(run(validToml().replace(original, replacement == null ? "" : replacement), "<gullway/>"), field);
    }

    @ParameterizedTest
    @CsvSource({"node_name = ", "= = =", "[[[", "'node_name = \"a\"\nnode_name = \"b\"'"})
    void errorForInvalidTomlNamesTheFile(String toml) throws IOException {
        assertRejected(run(toml, "<gullway/>"), "site.toml");
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
    void errorNamesTheInvalidXmlSettingOrFile(String xml, String fieldOrFile) throws IOException {
        assertRejected(run(validToml(), xml), fieldOrFile);
    }
}
