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
import org.gullway.SimulatedCluster.JobConstraints;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.Priority;

/** Transactions whose response is lost or that are applied late, combined with a second fault. */
class CommitFaultsTest {
    private static final JobConstraints ANYWHERE = new JobConstraints(null, null, false, false, true);

    /**
     * Commit responses are lost while other controllers act on the changes: a job is accepted, runs and finishes before
     * its submission is answered, and its user queries and resubmits it at every controller. The transaction that
     * accepts a job requires that the job has no final state. Without this condition, the job would be accepted a
     * second time.
     */
    @Property(tries = 4, seed = "201")
    void lostCommitResponsesDoNotCauseASecondAcceptance(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(30));
        cluster.store.dropResponses(0.3, cluster.random.split());
        cluster.onAcceptedOrFinished(user -> cluster.queryInBursts(user, cluster.random));
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
     * The leader places a task that uses up its team's quota, and the transaction gets no response. A job of the same
     * team with a higher priority is placed instead, and then the first transaction arrives at the state store. Every
     * transaction requires that the version of the controller's member key is unchanged. Without this condition, both
     * placements would be applied, since the second one changes no other key that the first one depends on.
     */
    @Property(tries = 6, seed = "202")
    void aLatePlacementDoesNotExceedAQuotaThatWasUsedMeanwhile(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        // Once these jobs have finished, their machines are idle, and the leader holds the team's whole quota.
        cluster.submit(1, "red", Priority.HIGH, 2, 12, Duration.ofSeconds(5), ANYWHERE);
        cluster.submit(2, "blue", Priority.HIGH, 3, 20, Duration.ofSeconds(5), ANYWHERE);
        cluster.run(Duration.ofSeconds(25));
        String firstJobKey = StoreKeys.job("run-000003");
        cluster.store.delayNextCommit(
                change -> change.path("put").asText().equals(firstJobKey) && cluster.store.value(firstJobKey) != null,
                seconds(5 + seed % 7));
        cluster.submit(3, "red", Priority.HIGH, 1, 20, Duration.ofSeconds(40), ANYWHERE);
        cluster.after(
                seconds(1), () -> cluster.submit(4, "red", Priority.PROD, 1, 20, Duration.ofSeconds(40), ANYWHERE));
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }

    /**
     * Machines boot within two seconds and send heartbeats before the transaction that records them is applied, and the
     * leader that provisioned them crashes. The next leader must record the machines that only the cloud provider
     * lists. Otherwise, they would be neither used nor released.
     */
    @Property(tries = 6, seed = "203")
    void machinesThatSendHeartbeatsBeforeTheyAreRecordedAreReleased(@ForAll @IntRange(min = 1, max = 1000) int seed) {
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
        assertThat(cluster.cloud.machineCount()).as("machines after all jobs").isZero();
    }
}
