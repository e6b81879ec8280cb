package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.model.TransactionLimits;
import org.gullway.protocol.Count;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** Tests the failover of shards and the fencing of their former controller. */
class ShardFailoverTest extends AgentReconcilerFixture {
    @Test
    void takesOverTheShardsOfALostControllerWithoutWaitingForHeartbeats() {
        clusterState.remove(StoreKeys.member("perch-1"), Count.of(50));
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 60);
        planAndCommit();
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.SELF);
        assertThat(clusterState.fencingToken()).isEqualTo(Count.of(2));
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> assertThat(batch.commands())
                .isEmpty());
    }

    /**
     * One new fencing token is enough for all shards whose controllers were lost before it was raised. The loss of a
     * controller after that requires another token.
     */
    @Test
    void raisesTheFencingTokenOnceForAllShardsOfALostController() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 60);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 61);
        clusterState.remove(StoreKeys.member("perch-1"), Count.of(62));
        clusterState.advanceTo(Count.of(62));
        Transaction small = new Transaction(
                clusterState, TestFixtures.SELF, new TransactionLimits(3, 16 * 1024), TestFixtures.WALL_CLOCK_TIME);
        reconciler.plan(small, TestFixtures.leaderContext(now));
        TestFixtures.commit(clusterState, small, ++revision);
        Transaction second = planAndCommit();
        assertThat(clusterState.fencingToken()).isEqualTo(Count.of(2));
        assertThat(second.conditions())
                .as("conditions that the lost member has not joined again")
                .contains(StoreKeys.member("perch-1"), StoreKeys.FENCING_TOKEN);
        assertThat(List.of(clusterState.machine("vm-1"), clusterState.machine("vm-2")))
                .allSatisfy(machine -> {
                    assertThat(machine.controller()).isEqualTo(TestFixtures.SELF);
                    assertThat(machine.fencingToken()).isEqualTo(Count.of(2));
                });
        clusterState.put(StoreKeys.member("perch-1"), TestFixtures.PEER, Count.of(++revision));
        clusterState.remove(StoreKeys.member("perch-1"), Count.of(++revision));
        TestFixtures.put(clusterState, TestFixtures.machine("vm-3", "large", TestFixtures.PEER), ++revision);
        planAndCommit();
        assertThat(clusterState.machine("vm-3").fencingToken()).isEqualTo(Count.of(3));
    }

    /** A start sent by the former controller may still arrive until the agent has confirmed the new fencing token. */
    @Test
    void recordsACompletionOnlyOnceTheFormerControllerIsFenced() {
        clusterState.remove(StoreKeys.member("perch-1"), Count.of(50));
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", new Incarnation("perch-2", 3)), 10);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4), "vm-1");
        TaskStatus ended = new TaskStatus(TASK, Count.ONE, Phase.ENDED, Cause.STOPPED, false);
        reconciler.onHeartbeat(heartbeat(1, 1, null, ended), now);
        planAndCommit();
        planAndCommit();
        assertThat(clusterState.job("run-000001").livePlacements()).hasSize(1);
        reconciler.onCommandResponse(heartbeat(1, 2, null, ended), now);
        planAndCommit();
        assertThat(clusterState.job("run-000001").livePlacements()).isEmpty();
        assertThat(clusterState.job("run-000001").waitingTasks()).isEqualTo(1);
    }

    /**
     * Shards are checked again only after shards or members have changed; this test guards against a missed change.
     */
    @Test
    void takesOverTheShardsOfAControllerThatIsLostAfterUnchangedCycles() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 60);
        for (int cycle = 0; cycle < 3; cycle++) {
            planAndCommit();
        }
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.PEER);
        clusterState.remove(StoreKeys.member("perch-1"), Count.of(++revision));
        clusterState.advanceTo(Count.of(revision));
        planAndCommit();
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.SELF);
    }
}
