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

/** Transactions of which the answer is lost or that are applied late, each with a second fault. */
class CommitFaultsTest {
    private static final Bounds ANYWHERE = new Bounds(null, null, false, false, true);

    /**
     * Answers are lost while others act on what was written: a job is accepted, runs and is over before its acceptance is
     * answered, and users ask and submit again at once, everywhere. Guards that an acceptance relies on there being no
     * final state of the job: it would be accepted a second time.
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
     * The leader books a task that uses up its team's limit; that transaction gets no answer. More urgent work of the
     * team comes, is booked instead, and then the first transaction arrives. Guards the mark of the member key in every
     * commit: the second booking changes no key that the first one relies on.
     */
    @Property(tries = 6, seed = "202")
    void aLatePlacementArrivesAfterAnotherTookItsResources(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        // Afterwards there are idle machines, and the leader holds all of the team's limit.
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
     * Machines are up and report within two seconds, before the transaction that puts them on record is applied, and
     * the leader that provisioned them ends. Guards the taking on record of machines that only the cloud's list shows: they
     * would neither be used nor returned.
     */
    @Property(tries = 6, seed = "203")
    void heartbeatsBeforeTheRecordAndALeaderCrash(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.cloud.setBootTime(seconds(0.2 + seed % 18 / 10.0));
        cluster.run(Duration.ofSeconds(5));
        cluster.store.applyLate(0.4, cluster.random.split());
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
