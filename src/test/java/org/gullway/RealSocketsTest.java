package org.gullway;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs jobs on a controller in a process of its own, over sockets; fails if any job does not complete within 40 s. */
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
