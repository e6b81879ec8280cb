package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.assertRecoversAfter;
import static org.gullway.FaultScenarios.clusterWithRunningJobs;
import static org.gullway.FaultScenarios.seconds;
import static org.gullway.FaultScenarios.submitSteadily;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.SimulatedCluster.Bounds;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.Priority;

/** Transactions whose response is lost or that are applied late, each with a second fault. */
class CommitFaultsTest {
    private static final Bounds ANYWHERE = new Bounds(null, null, false, false, true);

    /**
     * Responses are lost while others act on the changes: a job is accepted, runs and is finished before its
     * acceptance is answered, and users query and resubmit at once, at every controller. Guards that an acceptance has
     * the absence of a final state as its condition: otherwise the job would be accepted a second time.
     */
    @Property(tries = 4, seed = "201")
    void commitResponsesAreLostWhileOthersReadTheChanges(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(30));
        cluster.store.dropResponses(0.3, cluster.random.split());
        cluster.onStateChange(user -> cluster.queryInBursts(user, cluster.random));
        submitSteadily(cluster, 9, 8);
        for (int i = 0; i < 20; i++) {
            int number = 30 + i;
            cluster.after(
                    Duration.ofMillis(900L * i),
                    () -> cluster.submit(
                            number, "blue", number % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 1, 1, seconds(0.4)));
        }
        for (int i = 0; i < 4; i++) {
            TestUser user = cluster.users().get(i);
            cluster.after(Duration.ofSeconds(3L * i), user::cancel);
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * The leader places a task that uses up its team's quota; that transaction gets no response. A job of higher
     * priority of the team arrives, is placed instead, and then the first transaction is applied. Guards the version
     * of the member key as a condition of every transaction: the second placement changes no key that the first one
     * depends on.
     */
    @Property(tries = 6, seed = "202")
    void aLatePlacementArrivesAfterAnotherTookItsResources(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        // Afterwards there are idle machines, and the leader holds the whole quota of the team.
        cluster.submit(1, "red", Priority.HIGH, 2, 12, Duration.ofSeconds(5), ANYWHERE);
        cluster.submit(2, "blue", Priority.HIGH, 3, 20, Duration.ofSeconds(5), ANYWHERE);
        cluster.run(Duration.ofSeconds(25));
        String first = StoreKeys.job("run-000003");
        cluster.store.delayNextCommit(
                change -> change.path("put").asText().equals(first) && cluster.store.value(first) != null,
                seconds(5 + seed % 7));
        cluster.submit(3, "red", Priority.HIGH, 1, 20, Duration.ofSeconds(40), ANYWHERE);
        cluster.after(
                seconds(1), () -> cluster.submit(4, "red", Priority.PROD, 1, 20, Duration.ofSeconds(40), ANYWHERE));
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }

    /**
     * Machines are up and send heartbeats within two seconds, before the transaction that records them is applied, and
     * the leader that provisioned them crashes. Guards that machines which only the cloud lists are recorded:
     * otherwise they would be neither used nor released.
     */
    @Property(tries = 6, seed = "203")
    void heartbeatsBeforeTheRecordAndALeaderCrash(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.cloud.setMaxBootTime(seconds(0.2 + seed % 18 / 10.0));
        cluster.run(Duration.ofSeconds(5));
        cluster.store.delayCommits(0.4, cluster.random.split());
        submitSteadily(cluster, 1, 20);
        for (int i = 0; i < 4; i++) {
            cluster.after(seconds(2 + 9 * i + seed % 8 / 2.0), () -> {
                if (cluster.leader() != null) {
                    cluster.crash(cluster.leader(), seconds(0.2 + seed % 30 / 3.0));
                }
            });
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(50));
        assertThat(cluster.cloud.machineCount()).as("machines never released").isZero();
    }
}
