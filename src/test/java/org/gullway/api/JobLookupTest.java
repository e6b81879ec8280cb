package org.gullway.api;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.StateStoreClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.TokenBucket;
import org.junit.jupiter.api.Test;

class JobLookupTest {
    private static final String STATE = "10.2.0.1:2379";
    private static final Duration SLOWNESS = Duration.ofMillis(500);

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.Process loop = time.process();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(1), 0);
    private final JobLookup jobLookup = new JobLookup(
            loop,
            new StateStoreClient(network.client("perch-0", loop), STATE),
            new TokenBucket(loop, 4, 1),
            new FinalStateCache(new ClusterState()),
            new CancellationEnforcer(new ClusterState(), Duration.ofSeconds(30)));
    private final List<String> found = new ArrayList<>();
    private boolean accepted;
    private int requests;

    JobLookupTest() {
        network.listen(STATE, loop, this::store);
    }

    /** It answers late with what holds when the request arrives. */
    private void store(HttpExchange exchange) {
        requests++;
        boolean there = accepted && exchange.path().startsWith("/store/live/jobs/");
        byte[] body = there ? Cbor.encode(Cbor.map().set("v", Cbor.map())) : new byte[0];
        loop.after(SLOWNESS, () -> exchange.respond(there ? 200 : 404, body));
    }

    private void lookUp(String id) {
        jobLookup.lookUp(id, finding -> found.add(text(finding.status())), () -> found.add("refused"));
    }

    private static String text(JobStatus status) {
        return status == null ? "none" : status.state().wire();
    }

    private void run(Duration span) {
        time.runUntil(time.now().plus(span));
    }

    /** Seen to answer "none" twice when late askers joined the reading under way. */
    @Test
    void whoAsksWhileAReadingIsUnderWayIsNotToldAnOlderState() {
        lookUp("run-000001");
        run(Duration.ofMillis(100));
        accepted = true;
        lookUp("run-000001");
        run(Duration.ofSeconds(4));
        assertThat(found).containsExactly("none", "pending");
    }

    /** Seen to send a reading for each asker without the joining, and all at once without the budget. */
    @Test
    void readingsOfOneJobAreJoinedAndAllKeepToTheBudget() {
        for (int i = 0; i < 20; i++) {
            for (int asker = 0; asker < 3; asker++) {
                lookUp("run-" + i);
            }
        }
        assertThat(found).as("refused at once").hasSizeGreaterThan(30).containsOnly("refused");
        int refused = found.size();
        run(Duration.ofMillis(100));
        assertThat(requests).isLessThanOrEqualTo(4);
        run(Duration.ofSeconds(10));
        assertThat(found).hasSize(60);
        assertThat(found.subList(refused, 60)).containsOnly("none");
        assertThat(requests).isLessThanOrEqualTo(2 * (60 - refused) / 3);
    }
}
