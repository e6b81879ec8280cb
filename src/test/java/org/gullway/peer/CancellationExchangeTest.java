package org.gullway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Count;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;
import org.junit.jupiter.api.Test;

class CancellationExchangeTest {
    private static final String PEER_ADDRESS = "10.0.0.2:8081";
    private static final Duration CANCELLATION_LIMIT = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(5), 0);
    private final Controller self = new Controller(TestFixtures.SELF);
    private Controller peer = new Controller(TestFixtures.PEER);

    /** What one controller knows. */
    private final class Controller {
        final ClusterState clusterState = TestFixtures.clusterState();
        final CancellationEnforcer cancellationEnforcer = new CancellationEnforcer(clusterState, CANCELLATION_LIMIT);
        final CancellationWatermark watermark =
                new CancellationWatermark(clusterState, List.of(TestFixtures.PEER.node()));
        final CancellationExchange exchange;
        private long version = 100;

        Controller(Incarnation incarnation) {
            LeaseRenewalPolicy leaseRenewal = new LeaseRenewalPolicy(
                    clusterState, incarnation, cancellationEnforcer, CANCELLATION_LIMIT, Duration.ofSeconds(20));
            PeerClient client = new PeerClient(
                    network.client(incarnation.node(), loop),
                    List.of(new Settings.Peer(TestFixtures.PEER.node(), "a", PEER_ADDRESS)));
            PeerMessageTargets targets =
                    new PeerMessageTargets(null, null, cancellationEnforcer, watermark, leaseRenewal);
            exchange = new CancellationExchange(loop, client, incarnation, targets);
        }

        void addCancelledJobs(int first, int count) {
            for (int i = first; i < first + count; i++) {
                JobRecord job = JobRecord.accepted(
                        TestFixtures.request(String.format("run-%018d", i), "red", Priority.NORMAL, 1, 1),
                        "perch-0",
                        TestFixtures.WALL_CLOCK_TIME);
                JobRecord cancelled = TestFixtures.placed(job, TestFixtures.WALL_CLOCK_TIME, "vm-000001")
                        .withCancellation(TestFixtures.WALL_CLOCK_TIME);
                clusterState.put(StoreKeys.job(job.request().id()), cancelled, Count.of(++version));
            }
        }

        /** Polls until this controller knows all cancellations that the peer knew at the start. */
        void pollUntilKnown(int maxPolls) {
            Instant start = time.now();
            for (int i = 0; i < maxPolls && watermark.knownThrough(Instant.MIN).isBefore(start); i++) {
                exchange.poll(time.now());
                time.runUntil(time.now().plus(POLL_INTERVAL));
            }
            assertThat(watermark.knownThrough(Instant.MIN)).isAfterOrEqualTo(start);
        }
    }

    CancellationExchangeTest() {
        network.listen(PEER_ADDRESS, loop, this::respondAsPeer);
    }

    private void respondAsPeer(HttpExchange exchange) {
        try {
            peer.exchange.respond(exchange);
        } catch (MalformedMessageException e) {
            exchange.respond(HttpStatus.BAD_REQUEST);
        }
    }

    /**
     * Guards against leases that run out in an outage, because the known jobs do not fit into one request and those
     * that are left out fill every response.
     */
    @Test
    void moreKnownJobsThanFitIntoARequestDoNotStopTheWatermark() {
        self.addCancelledJobs(0, 6000);
        peer.addCancelledJobs(0, 6000);
        peer.addCancelledJobs(6000, 1);
        self.pollUntilKnown(5);
        assertThat(self.cancellationEnforcer.knownCancellations()).hasSize(6001);
    }

    /** Unknown jobs that do not fit into one response are learned one response after the other. */
    @Test
    void manyUnknownJobsAreLearned() {
        peer.addCancelledJobs(0, 5000);
        self.pollUntilKnown(15);
        assertThat(self.cancellationEnforcer.knownCancellations()).hasSize(5000);
    }

    /** Guards against a watermark that counts what a former process of the peer has told. */
    @Test
    void aPeerThatRestartsBetweenTwoRangesIsAskedAnew() {
        self.addCancelledJobs(1000, 6000);
        peer.addCancelledJobs(1000, 6000);
        Instant start = time.now();
        self.exchange.poll(start);
        time.runUntil(time.now().plus(POLL_INTERVAL));
        peer = new Controller(new Incarnation(TestFixtures.PEER.node(), TestFixtures.PEER.number() + 1));
        peer.addCancelledJobs(0, 7000);
        for (Controller controller : List.of(self, peer)) {
            controller.clusterState.put(
                    StoreKeys.member(TestFixtures.PEER.node()),
                    new Incarnation(TestFixtures.PEER.node(), TestFixtures.PEER.number() + 1),
                    Count.of(20_000));
        }
        for (int i = 0; i < 2; i++) {
            self.exchange.poll(time.now());
            time.runUntil(time.now().plus(POLL_INTERVAL));
        }
        assertThat(self.watermark.knownThrough(Instant.MIN))
                .as("the jobs up to 999 are unknown")
                .isBefore(start);
        self.pollUntilKnown(10);
        assertThat(self.cancellationEnforcer.knownCancellations()).hasSize(7000);
    }
}
