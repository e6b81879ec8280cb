package org.gullway;

import java.time.Duration;
import java.util.List;
import org.gullway.fake.FakeStateStore;
import org.gullway.protocol.Settings;

/** The settings of one controller on loopback addresses, written as its settings file. */
record NodeSettings(
        String name,
        String zone,
        String publicAddress,
        String peerAddress,
        List<Settings.Peer> peers,
        String cloudAddress,
        String storeAddress) {

    private static double seconds(Duration duration) {
        return duration.toMillis() / 1000.0;
    }

    private static String toToml(Settings.Peer peer) {
        return """
                [[seeds]]
                node_name = "%s"
                site = "%s"
                addr = "%s"
                """
                .formatted(peer.name(), peer.zone(), peer.address());
    }

    private static String toToml(Settings.Team team) {
        return """
                [[facts.teams]]
                name = "%s"
                cpus = %s
                cpus_max = %s
                """
                .formatted(team.name(), team.cpus(), team.cpusMax());
    }

    /** Formats the settings as TOML, as a controller reads them from the file given with --config. */
    String toToml(LoopbackCluster.Setup setup) {
        StringBuilder peerTables = new StringBuilder();
        peers.forEach(peer -> peerTables.append(toToml(peer)));
        StringBuilder teams = new StringBuilder();
        setup.teams().values().forEach(team -> teams.append(toToml(team)));
        return """
                node_name = "%s"
                site = "%s"
                public_addr = "%s"
                mesh_addr = "%s"
                %s
                [external]
                cloud = "%s"
                state = "%s"
                [facts]
                count = 3
                zones = ["a", "b"]
                clock_off_ms = 25.0
                %s
                [facts.workers]
                report_s = %s
                lease_s = %s
                cancel_s = %s
                [facts.state]
                rps = 150.0
                write_rps = %s
                value_kb = 16.0
                txn_ops = %s
                [facts.cloud]
                rps = 10.0
                list_lag_s = 0.5
                [facts.quota]
                cpu = 1.0
                mem_mb = 320.0
                sockets = 1000
                """
                .formatted(
                        name,
                        zone,
                        publicAddress,
                        peerAddress,
                        peerTables,
                        cloudAddress,
                        storeAddress,
                        teams,
                        seconds(setup.heartbeatInterval()),
                        seconds(setup.agentLease()),
                        seconds(setup.cancellationLimit()),
                        (double) FakeStateStore.MAX_CHANGES_PER_SECOND,
                        FakeStateStore.MAX_CHANGES_PER_COMMIT);
    }
}
