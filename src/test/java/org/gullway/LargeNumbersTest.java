package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigInteger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.gullway.storage.RecordCodec;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

/** Agents and the state store choose numbers up to 2^64 - 1, and the cluster works as with small ones. */
class LargeNumbersTest {
    private static final BigInteger TWO_TO_63 = BigInteger.ONE.shiftLeft(63);
    private static final BigInteger TWO_TO_64 = BigInteger.ONE.shiftLeft(64);
    /** More than the numbers that a party uses up in a test. */
    private static final BigInteger HEADROOM = BigInteger.valueOf(100_000);

    /** The last numbers before the numbers of a test: a few before 2^63, at 2^63, and up to 2^64 - 1. */
    private static final List<BigInteger> BASES =
            List.of(TWO_TO_63.subtract(BigInteger.TWO), TWO_TO_63, TWO_TO_64.subtract(HEADROOM));

    /** Starts jobs of both kinds, expires an agent's lease, replaces the leader and cancels a job. */
    private static void assertWorksThroughFailures(SimulatedCluster cluster, String description) {
        List<TestUser> users = new ArrayList<>();
        users.add(cluster.submit(1, "blue", Priority.HIGH, 4, 4, Duration.ofSeconds(30)));
        users.add(cluster.submit(2, "blue", Priority.NORMAL, 4, 4, Duration.ofSeconds(30)));
        TestUser cancelled = cluster.submit(3, "red", Priority.NORMAL, 2, 4, Duration.ofMinutes(10));
        cluster.run(Duration.ofSeconds(15));
        assertThat(cluster.startedTasks()).as(description).isEqualTo(10);
        cluster.cloud.agents().stream()
                .filter(FakeAgent::alive)
                .limit(2)
                .forEach(agent -> agent.hang(SimulatedCluster.AGENT_LEASE.plusSeconds(3)));
        cluster.run(Duration.ofSeconds(5));
        cluster.crash(cluster.leader(), Duration.ofSeconds(1));
        cluster.run(Duration.ofSeconds(10));
        cancelled.cancel();
        cluster.run(Duration.ofSeconds(60));
        users.add(cluster.submit(4, "red", Priority.HIGH, 3, 4, Duration.ofSeconds(5)));
        cluster.run(Duration.ofSeconds(60));
        assertThat(users).as(description).allSatisfy(user -> assertThat(
                        cluster.invariants.reportedState(user.request.id()))
                .isEqualTo("done"));
        assertThat(cluster.invariants.reportedState(cancelled.request.id()))
                .as(description)
                .isEqualTo("aborted");
        assertThat(cluster.violations).as(description).isEmpty();
    }

    private static SimulatedCluster cluster() {
        return new SimulatedCluster(56, 0, 3);
    }

    /** Puts a value into the state store at once. */
    private static void putInStore(SimulatedCluster cluster, String key, ObjectNode value) {
        ObjectNode transaction = Cbor.map();
        transaction.putArray("guards");
        ObjectNode change = transaction.putArray("then").addObject().put("put", key);
        change.set("v", value);
        List<HttpResponse> responses = new ArrayList<>();
        cluster.store.handle(
                new SimulatedNetwork.Message("setup", "POST", "/commit", "", Cbor.encode(transaction), responses::add));
        assertThat(responses).extracting(HttpResponse::status).containsExactly(200);
    }

    private static HttpResponse post(SimulatedCluster cluster, String path, byte[] body) {
        List<HttpResponse> responses = new ArrayList<>();
        cluster.network
                .client("users", cluster.time.newProcess())
                .call(cluster.address("perch-0"), HttpRequest.post(path, body, Duration.ofSeconds(4)), responses::add);
        cluster.run(Duration.ofMillis(100));
        return responses.get(0);
    }

    /** Checks a cluster for each base, whose numbers of this name the set-up makes follow the base. */
    private static void assertWorksFromEachBase(String numbers, BiConsumer<SimulatedCluster, BigInteger> setUp) {
        for (BigInteger base : BASES) {
            SimulatedCluster cluster = cluster();
            setUp.accept(cluster, base);
            cluster.run(Duration.ofSeconds(15));
            assertWorksThroughFailures(cluster, numbers + " from " + base);
        }
    }

    /** Guards against agents whose every heartbeat is refused, so that no task runs, because its number is too large. */
    @Test
    void agentsMayNumberTheirMessagesUpToTheLimit() {
        assertWorksFromEachBase(
                "messages", (cluster, base) -> cluster.onBoot(agent -> agent.startNumbersAt(1, base.longValue())));
    }

    /** Guards against agents whose epoch is refused, or whose new epoch counts as an old one and keeps lost tasks. */
    @Test
    void agentEpochsMayGrowUpToTheLimit() {
        assertWorksFromEachBase(
                "epochs", (cluster, base) -> cluster.onBoot(agent -> agent.startNumbersAt(base.longValue(), 0)));
    }

    /** Guards against revisions that wrap: records that count as outdated, failed conditions, and a watch of the past. */
    @Test
    void revisionsOfTheStateStoreMayGrowUpToTheLimit() {
        assertWorksFromEachBase("revisions", (cluster, base) -> cluster.store.startNumbersAt(base.longValue(), 0));
    }

    /** Guards against a lease that is renewed or revoked under another number, so that its controller is no member. */
    @Test
    void leasesOfTheStateStoreMayHaveNumbersUpToTheLimit() {
        assertWorksFromEachBase("leases", (cluster, base) -> cluster.store.startNumbersAt(0, base.longValue()));
    }

    /** Guards against a fencing token that agents refuse, because it wrapped or because they report it back. */
    @Test
    void fencingTokensMayGrowUpToTheLimit() {
        assertWorksFromEachBase(
                "tokens",
                (cluster, base) ->
                        putInStore(cluster, StoreKeys.FENCING_TOKEN, Cbor.map().put("epoch", base)));
    }

    /** Guards against attempts whose number changes on its way to the agent and back, so that their end is not seen. */
    @Test
    void attemptsMayHaveNumbersUpToTheLimit() {
        for (BigInteger base : BASES) {
            for (Priority priority : List.of(Priority.HIGH, Priority.NORMAL)) {
                SimulatedCluster cluster = cluster();
                cluster.run(Duration.ofSeconds(15));
                JobRequest request = SimulatedJobs.array(
                        1,
                        "blue",
                        priority,
                        4,
                        4,
                        Duration.ofSeconds(30),
                        new SimulatedCluster.JobConstraints(null, null, false, false, true));
                ObjectNode record = RecordCodec.encode(JobRecord.accepted(
                        request, priority == Priority.HIGH ? null : "perch-0", Instant.parse("2026-11-20T06:00:00Z")));
                putInStore(cluster, StoreKeys.job(request.id()), record.put("attempts", base));
                assertWorksThroughFailures(cluster, priority + " attempts from " + base);
            }
        }
    }

    /** Guards against a number out of the range that costs more than its own message: the agent's next ones count. */
    @Test
    void aHeartbeatWithANumberOutOfTheRangeIsRefusedAlone() throws MalformedMessageException {
        SimulatedCluster cluster = cluster();
        cluster.run(Duration.ofSeconds(15));
        TestUser user = cluster.submit(1, "blue", Priority.HIGH, 4, 4, Duration.ofSeconds(20));
        cluster.run(Duration.ofSeconds(10));
        String machine = cluster.cloud.agents().iterator().next().name();
        for (String field : List.of("flight", "tally", "baton")) {
            for (BigInteger invalid : List.of(TWO_TO_64, TWO_TO_64.shiftLeft(3), BigInteger.valueOf(-1))) {
                ObjectNode heartbeat = Cbor.map()
                        .put("perch", machine)
                        .put("endpoint", "10.1.0.1:9000")
                        .put("breed", "small")
                        .put("shore", "a")
                        .put("driftwood", false)
                        .put("flight", 1)
                        .put("tally", 1)
                        .put("baton", 0);
                HttpResponse response = post(cluster, "/agent/beat", Cbor.encode(heartbeat.put(field, invalid)));
                assertThat(response.status()).isEqualTo(400);
                assertThat(Cbor.decode(response.body()).path("error").asText())
                        .isEqualTo(field + " is not an integer from 0 to 2^64 - 1");
            }
        }
        cluster.run(Duration.ofSeconds(40));
        assertThat(cluster.invariants.reportedState(user.request.id())).isEqualTo("done");
        assertThat(cluster.violations).isEmpty();
    }

    /** Guards against a number of tasks that is read as a small one, or as any other answer than malformed. */
    @Test
    void aSubmissionWithANumberOfTasksOutOfTheRangeIsMalformed() throws MalformedMessageException {
        SimulatedCluster cluster = cluster();
        cluster.run(Duration.ofSeconds(15));
        List<BigInteger> invalid = List.of(
                BigInteger.ONE.shiftLeft(32).add(BigInteger.TWO),
                TWO_TO_63,
                TWO_TO_64.subtract(BigInteger.ONE),
                TWO_TO_64.add(BigInteger.TWO),
                TWO_TO_63.negate().subtract(BigInteger.ONE));
        for (BigInteger tasks : invalid) {
            ObjectNode submission = BadInputTest.validRequest(1).put("legs", tasks);
            HttpResponse response = post(cluster, "/v2/runs", Cbor.encode(submission));
            assertThat(response.status()).as("%s", tasks).isEqualTo(400);
            assertThat(Cbor.decode(response.body()).toString())
                    .as("%s", tasks)
                    .contains("legs is not an integer from 0 to 100000");
        }
        assertThat(post(cluster, "/v2/runs", Cbor.encode(BadInputTest.validRequest(1)))
                        .status())
                .isEqualTo(201);
    }
}
