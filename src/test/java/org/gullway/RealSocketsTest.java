package org.gullway;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A controller as a process of its own serves jobs over real sockets; the training run fails if any does not finish.
 */
class RealSocketsTest {
    @Test
    void servesJobsOverLoopback() throws Exception {
        ClassArchiveTraining.run(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx120m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "org.gullway.Main"));
    }
}
