package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the script .ci/known-red, which reads the list of tests that are known to fail ("known red"). CI must exclude
 * exactly these tests and print each of them. A line of the list has four fields, separated by semicolons: the test,
 * the command with its seed, the observed failure, and the issue.
 */
class KnownRedTest {
    @TempDir
    private Path directory;

    private record ScriptResult(int exitCode, String option, String errorOutput) {}

    private ScriptResult runScript(String list) throws IOException, InterruptedException {
        Path file = Files.writeString(directory.resolve("KNOWN-RED.txt"), list);
        Path errorOutput = directory.resolve("errors");
        Process process = new ProcessBuilder("bash", ".ci/known-red", file.toString())
                .redirectError(errorOutput.toFile())
                .start();
        String option = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new ScriptResult(process.waitFor(), option.strip(), Files.readString(errorOutput));
    }

    @Test
    void listedTestsAreExcludedAndPrinted() throws Exception {
        ScriptResult result = runScript(
                """
                FaultsTest#deaf; mvn -B verify, seed 21; a task ran twice; issue 33
                SoakTest; mvn -B verify -Dtest=SoakTest, seed 2; the run did not end; issue 33
                """);
        assertThat(result.exitCode()).isZero();
        assertThat(result.option()).isEqualTo("-Dtest=!FaultsTest#deaf,!SoakTest");
        assertThat(result.errorOutput().lines())
                .containsExactly(
                        "known red, not run: FaultsTest#deaf (mvn -B verify, seed 21; a task ran twice; issue 33)",
                        "known red, not run: SoakTest (mvn -B verify -Dtest=SoakTest, seed 2; the run did not end;"
                                + " issue 33)");
    }

    @Test
    void anEmptyListExcludesNothing() throws Exception {
        assertThat(runScript("\n")).isEqualTo(new ScriptResult(0, "", ""));
    }

    @Test
    void lineWithTooFewFieldsIsAnError() throws Exception {
        ScriptResult result = runScript("FaultsTest#deaf; seed 21; issue 33\n");
        assertThat(result.exitCode()).isEqualTo(2);
        assertThat(result.errorOutput()).contains("lacks a part").contains("FaultsTest#deaf");
    }
}
