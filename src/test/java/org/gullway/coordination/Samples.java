package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Rank;
import org.gullway.protocol.Settings;

/** Small clusters for tests. */
public final class Samples {
    public static final Incarnation SELF = new Incarnation("perch-0", 17);
    public static final Incarnation PEER = new Incarnation("perch-1", 18);
    /** perch-1 is beside this one, perch-2 in another zone. */
    public static final PeerZones NEIGHBOURS =
            new PeerZones(Map.of("perch-1", "a", "perch-2", "b"), Duration.ofSeconds(40));

    public static final Instant DAY = Instant.parse("2026-11-20T06:00:00Z");
    public static final Transaction.Limits LIMITS = new Transaction.Limits(24, 16 * 1024);

    private Samples() {}

    public static JobRequest request(String id, String team, Rank rank, int tasks, double cpus) {
        return new JobRequest(
                id,
                "render",
                team,
                JobRequest.Shape.ARRAY,
                rank,
                tasks,
                cpus,
                0,
                cpus,
                "img-1",
                0.5,
                null,
                null,
                false,
                false,
                true,
                Duration.ofSeconds(20),
                Duration.ZERO,
                Duration.ZERO,
                null);
    }

    public static PlacementConstraints placing() {
        PlacementConstraints placing = new PlacementConstraints(Map.of(
                "red", new Settings.Team("red", 16, 32, 0, 0),
                "blue", new Settings.Team("blue", 16, 64, 0, 0)));
        placing.learn(List.of(type("small", 16), type("large", 32)));
        return placing;
    }

    public static MachineType type(String name, double cpus) {
        return new MachineType(
                name, cpus, 0, cpus * 4, 50, 1, cpus / 10, cpus / 30, Duration.ofSeconds(30), List.of("a"));
    }

    public static MachineRecord machine(String name, String type, Incarnation controller) {
        return MachineRecord.booting(name, type, "a", true, DAY, controller, 1).inSession(1, "10.1.0.1:9000");
    }

    /** Puts a machine into a group of its own. */
    public static void put(ClusterView view, MachineRecord machine, long mark) {
        view.put(
                Keys.group("g-" + machine.name()),
                new GroupRecord("g-" + machine.name(), machine.controller(), machine.epoch(), List.of(machine)),
                mark);
        view.watchedTo(mark);
    }

    /** A job with one task on each of these machines, in session 1. */
    public static JobRecord placed(JobRecord job, Instant since, String... machines) {
        return job.placed(
                java.util.stream.Stream.of(machines)
                        .map(m -> machine(m, "large", SELF))
                        .toList(),
                since);
    }

    /** A view with both controllers as members, the first leading, at epoch 1. */
    public static ClusterView view() {
        ClusterView view = new ClusterView();
        view.put(Keys.member(SELF.node()), SELF, 1);
        view.put(Keys.member(PEER.node()), PEER, 2);
        view.put(Keys.LEADER, SELF, 3);
        view.put(Keys.EPOCH, 1L, 4);
        AllotmentRecord all = AllotmentRecord.EMPTY
                .with("red", new AllotmentRecord.Amount(32, 0))
                .with("blue", new AllotmentRecord.Amount(64, 0));
        view.put(Keys.LEADERS_SHARE, all, 5);
        view.put(Keys.share(SELF.node()), all, 6);
        view.put(Keys.share(PEER.node()), all, 7);
        view.watchedTo(8);
        return view;
    }

    /** Applies a draft as if the store had committed it. */
    public static void commit(ClusterView view, Transaction draft, long revision) {
        draft.changes().forEach((key, value) -> {
            if (value == null) {
                view.remove(key, revision);
            } else if (key.startsWith(Keys.LIVE)) {
                view.put(key, value, revision);
            }
        });
        view.watchedTo(revision);
    }
}
