package org.gullway.protocol;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.gullway.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** The settings files of the platform and of operators are decoded to the values that the golden file records. */
class GoldenSettingsTest {
    private static final GoldenFile GOLDEN = GoldenFile.of("messages");
    private static final Path RESOURCES = Path.of("src/test/resources/golden");

    @Test
    void platformSettingsDecodingIsUnchanged() throws MalformedMessageException {
        Settings read = Settings.read(RESOURCES.resolve("settings.toml"));
        List<String> lines = new ArrayList<>();
        lines.add(GoldenFile.line(
                read.nodeName(),
                read.zone(),
                read.publicAddress(),
                read.peerAddress(),
                read.cloudAddress(),
                read.stateAddress(),
                read.heartbeatInterval(),
                read.agentLease(),
                read.cancellationLimit(),
                read.stateRequestsPerSecond(),
                read.stateChangesPerSecond(),
                read.stateValueBytes(),
                read.stateChangesPerCommit(),
                read.cloudRequestsPerSecond(),
                read.cloudListLag(),
                read.socketLimit()));
        read.peers().forEach(peer -> lines.add(GoldenFile.line(peer.name(), peer.zone(), peer.address())));
        new TreeMap<>(read.teams())
                .values()
                .forEach(team -> lines.add(GoldenFile.line(
                        team.name(),
                        team.cpus(),
                        team.cpusMax(),
                        team.gpus(),
                        team.gpusMax(),
                        team.cpusLimit(),
                        team.gpusLimit())));
        read.objectives()
                .forEach(objective ->
                        lines.add(GoldenFile.line(objective.kind(), objective.jobClass(), objective.timeLimit())));
        GOLDEN.checkText("settings.read", String.join("\n", lines));
    }

    private static String toText(OperatorSettings read) {
        return GoldenFile.line(
                read.membershipLease(),
                read.spareCapacityFraction(),
                read.scaleInDelay(),
                read.bootTimeoutFactor(),
                read.logInterval());
    }

    @Test
    void operatorSettingsDecodingIsUnchanged() throws MalformedMessageException {
        GOLDEN.checkText("operator.read", toText(OperatorSettings.read(RESOURCES.resolve("operator.xml"))));
        GOLDEN.checkText("operator-defaults.read", toText(OperatorSettings.DEFAULTS));
    }
}
