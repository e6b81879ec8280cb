package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The list of tests that are known to fail: exactly these are passed over, and each is printed. */
class KnownRedTest {
    @TempDir
    private Path directory;

    private record Ending(int code, String option, String notes) {}

    private Ending read(String list) throws IOException, InterruptedException {
        Path file = Files.writeString(directory.resolve("KNOWN-RED.txt"), list);
        Path notes = directory.resolve("notes");
        Process process = new ProcessBuilder("bash", ".ci/known-red", file.toString())
                .redirectError(notes.toFile())
                .start();
        String option = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Ending(process.waitFor(), option.strip(), Files.readString(notes));
    }

    @Test
    void listedTestsAreExcludedAndPrinted() throws Exception {
        Ending ending = read(
                """
                FaultsTest#deaf; mvn -B verify, seed 21; a task ran twice; issue 33
                SoakTest; mvn -B verify -Dtest=SoakTest, seed 2; the run did not end; issue 33
                """);
        assertThat(ending.code()).isZero();
        assertThat(ending.option()).isEqualTo("-Dtest=!FaultsTest#deaf,!SoakTest");
        assertThat(ending.notes().lines())
                .containsExactly(
                        "known red, not run: FaultsTest#deaf (mvn -B verify, seed 21; a task ran twice; issue 33)",
                        "known red, not run: SoakTest (mvn -B verify -Dtest=SoakTest, seed 2; the run did not end;"
                                + " issue 33)");
    }

    @Test
    void anEmptyListExcludesNothing() throws Exception {
        assertThat(read("\n")).isEqualTo(new Ending(0, "", ""));
    }

    @Test
    void aLineThatLacksAPartIsAnError() throws Exception {
        Ending ending = read("FaultsTest#deaf; seed 21; issue 33\n");
        assertThat(ending.code()).isEqualTo(2);
        assertThat(ending.notes()).contains("lacks a part").contains("FaultsTest#deaf");
    }
}
