package org.gullway.api;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.storage.StateStoreClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.TokenBucket;
import org.junit.jupiter.api.Test;

class JobLookupTest {
    private static final String STORE = "10.2.0.1:2379";
    private static final Duration STORE_LATENCY = Duration.ofMillis(500);

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(1), 0);
    private final TokenBucket rateLimit = new TokenBucket(loop, 4, 1);
    private final FinalStateCache finalStates = new FinalStateCache(new ClusterState());
    private final JobReader reader = new JobReader(
            loop,
            new StateStoreClient(network.client("perch-0", loop), STORE),
            rateLimit,
            finalStates,
            new CancellationEnforcer(new ClusterState(), Duration.ofSeconds(30)));
    private final JobLookup jobLookup = new JobLookup(loop, rateLimit, finalStates, reader);
    private final List<String> outcomes = new ArrayList<>();
    private boolean jobAccepted;
    private boolean responsesAreUnreadable;
    private int storeRequests;

    JobLookupTest() {
        network.listen(STORE, loop, this::respondAfterLatency);
    }

    /** Responds after the latency, with the state that was current when the request arrived. */
    private void respondAfterLatency(HttpExchange exchange) {
        storeRequests++;
        if (responsesAreUnreadable) {
            loop.after(STORE_LATENCY, () -> exchange.respond(200, new byte[] {(byte) 0xff}));
            return;
        }
        boolean found = jobAccepted && exchange.path().startsWith("/store/live/jobs/");
        byte[] body = found ? Cbor.encode(Cbor.map().set("v", Cbor.map())) : new byte[0];
        loop.after(STORE_LATENCY, () -> exchange.respond(found ? 200 : 404, body));
    }

    private void lookUp(String id) {
        jobLookup.lookUp(id, result -> outcomes.add(describe(result)), () -> outcomes.add("failed"));
    }

    private static String describe(JobLookupResult result) {
        return result instanceof JobLookupResult.Found found
                ? found.status().state().wireName()
                : "not found";
    }

    private void advance(Duration duration) {
        time.runUntil(time.now().plus(duration));
    }

    /**
     * The job is accepted while a read is in progress. If the second lookup joined that read, it would get the outdated
     * result "not found".
     */
    @Test
    void lookupDuringAReadInProgressDoesNotGetItsOutdatedResult() {
        lookUp("run-000001");
        advance(Duration.ofMillis(100));
        jobAccepted = true;
        lookUp("run-000001");
        advance(Duration.ofSeconds(4));
        assertThat(outcomes).containsExactly("not found", "pending");
    }

    /**
     * Guards against lookups of a job that get no result for good: a response without a readable body left the read in
     * progress, and all later lookups waited for it.
     */
    @Test
    void unreadableResponseFailsTheLookupAndLaterLookupsAreServed() {
        responsesAreUnreadable = true;
        lookUp("run-000001");
        // The event loop of a real process logs an exception and goes on.
        Throwable thrown = catchThrowable(() -> advance(Duration.ofSeconds(2)));
        responsesAreUnreadable = false;
        lookUp("run-000001");
        advance(Duration.ofSeconds(4));
        assertThat(outcomes).containsExactly("failed", "not found");
        assertThat(thrown).isNull();
    }

    /**
     * Without shared reads each caller would cause a read, and without the rate limit all reads would be sent
     * immediately. The test looks up 20 jobs with 3 callers each; a read serves the 3 callers of a job and takes 2
     * requests to the state store. Lookups that the rate limit would delay for too long fail immediately.
     */
    @Test
    void lookupsOfOneJobShareAReadAndAllReadsObeyTheRateLimit() {
        for (int i = 0; i < 20; i++) {
            for (int caller = 0; caller < 3; caller++) {
                lookUp("run-" + i);
            }
        }
        assertThat(outcomes)
                .as("lookups that failed immediately")
                .hasSizeGreaterThan(30)
                .containsOnly("failed");
        int failed = outcomes.size();
        advance(Duration.ofMillis(100));
        assertThat(storeRequests).isLessThanOrEqualTo(4);
        advance(Duration.ofSeconds(10));
        assertThat(outcomes).hasSize(60);
        assertThat(outcomes.subList(failed, 60)).containsOnly("not found");
        assertThat(storeRequests).isLessThanOrEqualTo(2 * (60 - failed) / 3);
    }
}
