package org.gullway.coordination.model;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/** Records and cluster states of a small cluster, for tests. */
public final class TestFixtures {
    public static final Incarnation SELF = new Incarnation("perch-0", 17);
    public static final Incarnation PEER = new Incarnation("perch-1", 18);
    /** Controller perch-1 is in the zone of {@link #SELF}, perch-2 in another zone. */
    public static final NetworkPartitionSettings NETWORK_PARTITION_SETTINGS =
            new NetworkPartitionSettings(Map.of("perch-1", "a", "perch-2", "b"), Duration.ofSeconds(40));

    public static final Instant WALL_CLOCK_TIME = Instant.parse("2026-11-20T06:00:00Z");
    public static final TransactionLimits LIMITS = new TransactionLimits(24, 16 * 1024);

    private TestFixtures() {}

    public static JobRequest request(String id, String team, Priority priority, int tasks, double cpus) {
        return new JobRequest(
                id,
                "render",
                team,
                JobRequest.Shape.ARRAY,
                priority,
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

    /** A shard that contains only a machine of this name, commanded by {@link #SELF}. */
    public static MachineShard shard(String machine) {
        return new MachineShard("g-" + machine, SELF, Count.ONE, List.of(machine(machine, "small", SELF)));
    }

    /** An accepted best-effort job. */
    public static JobRecord job(String id) {
        return JobRecord.accepted(request(id, "red", Priority.NORMAL, 1, 1), SELF.node(), WALL_CLOCK_TIME);
    }

    /** A job that cannot be encoded, since its owner's name ends in half of a surrogate pair. */
    public static JobRecord unencodableJob(String id) {
        return JobRecord.accepted(request(id, "red", Priority.NORMAL, 1, 1), "perch-\uD83D", WALL_CLOCK_TIME);
    }

    /** The quotas of two teams. */
    public static TeamQuotas quotas() {
        return new TeamQuotas(Map.of(
                "red", new Settings.Team("red", 16, 32, 0, 0),
                "blue", new Settings.Team("blue", 16, 64, 0, 0)));
    }

    /** Placement constraints with two machine types, small and large. */
    public static PlacementConstraints constraints() {
        MachineTypeCatalog machineTypes = new MachineTypeCatalog();
        machineTypes.update(List.of(type("small", 16), type("large", 32)));
        return new PlacementConstraints(machineTypes);
    }

    public static MachineType type(String name, double cpus) {
        return new MachineType(
                name, cpus, 0, cpus * 4, 50, 1, cpus / 10, cpus / 30, Duration.ofSeconds(30), List.of("a"));
    }

    public static MachineRecord machine(String name, String type, Incarnation controller) {
        return MachineRecord.booting(name, type, "a", true, WALL_CLOCK_TIME, controller, Count.ONE)
                .withAgentEpoch(Count.ONE, "10.1.0.1:9000");
    }

    /** Puts a machine into a cluster state, in a shard that contains only this machine. */
    public static void put(ClusterState clusterState, MachineRecord machine, long version) {
        clusterState.put(
                StoreKeys.shard("g-" + machine.name()),
                new MachineShard("g-" + machine.name(), machine.controller(), machine.fencingToken(), List.of(machine)),
                Count.of(version));
        clusterState.advanceTo(Count.of(version));
    }

    /** A job with one task on each of these machines, in agent epoch 1. */
    public static JobRecord placed(JobRecord job, Instant placedAt, String... machines) {
        return job.withPlacements(
                Stream.of(machines).map(name -> machine(name, "large", SELF)).toList(), placedAt);
    }

    /** A cluster state with two members, of which {@link #SELF} is the leader, at fencing token 1. */
    public static ClusterState clusterState() {
        ClusterState clusterState = new ClusterState();
        clusterState.put(StoreKeys.member(SELF.node()), SELF, Count.ONE);
        clusterState.put(StoreKeys.member(PEER.node()), PEER, Count.of(2));
        clusterState.put(StoreKeys.LEADER, SELF, Count.of(3));
        clusterState.put(StoreKeys.FENCING_TOKEN, new FencingToken(Count.ONE), Count.of(4));
        QuotaPartition all = QuotaPartition.EMPTY
                .with("red", new QuotaPartition.Amount(32, 0))
                .with("blue", new QuotaPartition.Amount(64, 0));
        clusterState.put(StoreKeys.LEADER_QUOTA, all, Count.of(5));
        clusterState.put(StoreKeys.quotaPartition(SELF.node()), all, Count.of(6));
        clusterState.put(StoreKeys.quotaPartition(PEER.node()), all, Count.of(7));
        clusterState.advanceTo(Count.of(8));
        return clusterState;
    }

    /** A planning context of the leader, with spare capacity for changes. */
    public static PlanningContext leaderContext(Instant now) {
        return PlanningContext.of(now, true, true);
    }

    /** Applies a transaction as if the store had committed it. */
    public static void commit(ClusterState clusterState, Transaction transaction, long revision) {
        clusterState.apply(transaction.changes(), Count.of(revision));
        clusterState.advanceTo(Count.of(revision));
    }
}
