package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.gullway.ResponseLog.Kind;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

/** Malformed and infeasible requests are rejected, do not affect known jobs, and do not stop the controller. */
class BadInputTest {
    private static final JsonNodeFactory JSON_NODES = JsonNodeFactory.instance;
    private static final Set<String> OPTIONAL_FIELDS = Set.of("breeds", "shore", "landfall_s");
    private static final Set<String> NUMERIC_FIELDS =
            Set.of("legs", "cpus", "cards", "mem_gb", "image_gb", "reckon_s", "waypoint_s", "stow_s", "landfall_s");

    private static SimulatedCluster sharedCluster;
    private static int nextNumber = 500_000;

    private final SimulatedCluster cluster = new SimulatedCluster(5, 0, 3);

    @BeforeContainer
    static void startSharedCluster() {
        sharedCluster = new SimulatedCluster(6, 0, 3);
        sharedCluster.run(Duration.ofSeconds(15));
    }

    static ObjectNode validRequest(int number) {
        ObjectNode node = new JobRequest(
                        String.format("run-%06d", number),
                        "render",
                        "blue",
                        JobRequest.Shape.ARRAY,
                        Priority.HIGH,
                        2,
                        4,
                        0,
                        8,
                        "img-1",
                        1,
                        List.of("small"),
                        "a",
                        false,
                        false,
                        true,
                        Duration.ofSeconds(9),
                        Duration.ZERO,
                        Duration.ZERO,
                        Duration.ofSeconds(90))
                .toNode();
        return node;
    }

    private static int send(SimulatedCluster cluster, HttpRequest request) {
        HttpClient client = cluster.network.client("users", cluster.time.newProcess());
        int[] status = new int[1];
        client.call(cluster.address("perch-0"), request, response -> status[0] = response.status());
        cluster.run(Duration.ofSeconds(2));
        return status[0];
    }

    private static int submit(SimulatedCluster cluster, byte[] body) {
        return send(cluster, HttpRequest.post("/v2/runs", body, Duration.ofSeconds(5)));
    }

    private static int query(SimulatedCluster cluster, String id) {
        return send(cluster, HttpRequest.get("/v2/runs/" + id, Duration.ofSeconds(2)));
    }

    private static int cancel(SimulatedCluster cluster, String id) {
        return send(
                cluster,
                HttpRequest.post("/v2/runs/" + id + "/withdraw", Cbor.encode(Cbor.map()), Duration.ofSeconds(5)));
    }

    private static void assertRejected(
            SimulatedCluster cluster, ObjectNode node, int expectedStatus, String description) {
        assertThat(submit(cluster, Cbor.encode(node))).as(description).isEqualTo(expectedStatus);
        String id = node.path("name_id").asText();
        if (JobRequest.isValidId(id)) {
            assertThat(query(cluster, id)).as(description + ", queried").isEqualTo(404);
            assertThat(cluster.store.value(StoreKeys.job(id))).as(description).isNull();
        }
    }

    private static List<JsonNode> invalidValues(String field, JsonNode validValue) {
        List<JsonNode> invalid = new ArrayList<>(List.of(JSON_NODES.arrayNode().add(1), JSON_NODES.objectNode()));
        if (!OPTIONAL_FIELDS.contains(field)) {
            invalid.add(JSON_NODES.nullNode());
        }
        if (NUMERIC_FIELDS.contains(field)) {
            invalid.addAll(List.of(
                    JSON_NODES.textNode("4"),
                    JSON_NODES.booleanNode(true),
                    JSON_NODES.numberNode(-1),
                    JSON_NODES.numberNode(-0.5),
                    JSON_NODES.numberNode(1e300),
                    JSON_NODES.numberNode(Double.NaN),
                    JSON_NODES.numberNode(Double.POSITIVE_INFINITY),
                    JSON_NODES.numberNode(BigInteger.TWO.pow(64))));
        } else {
            invalid.add(JSON_NODES.numberNode(7));
            invalid.add(validValue.isTextual() ? JSON_NODES.textNode("") : JSON_NODES.textNode("yes"));
        }
        if (validValue.isTextual()) {
            invalid.add(JSON_NODES.booleanNode(false));
            invalid.add(JSON_NODES.textNode("x".repeat(201)));
        }
        return invalid;
    }

    @Test
    void everyMissingOrInvalidFieldGets400() {
        cluster.run(Duration.ofSeconds(15));
        int number = 1000;
        for (String field : List.copyOf(validRequest(1).properties().stream()
                .map(entry -> entry.getKey())
                .toList())) {
            if (!OPTIONAL_FIELDS.contains(field)) {
                ObjectNode incomplete = validRequest(number++);
                incomplete.remove(field);
                assertRejected(cluster, incomplete, 400, field + " is missing");
            }
            for (JsonNode value : invalidValues(field, validRequest(1).get(field))) {
                ObjectNode node = validRequest(number++);
                node.set(field, value);
                assertRejected(cluster, node, 400, field + " is " + value);
            }
        }
        for (String field : List.of("legs", "cpus")) {
            assertRejected(cluster, validRequest(number++).put(field, 0), 400, field + " is 0");
        }
        assertRejected(cluster, validRequest(number++).put("legs", 100_001), 400, "too many tasks");
        assertRejected(cluster, validRequest(number++).put("rank", "urgent"), 400, "unknown priority");
        assertRejected(cluster, validRequest(number++).put("shape", "swarm"), 400, "unknown shape");
        assertThat(submit(cluster, Cbor.encode(validRequest(number))))
                .as("a valid request")
                .isEqualTo(201);
    }

    @Test
    void infeasibleJobsGet422() {
        cluster.run(Duration.ofSeconds(15));
        int number = 1000;
        assertRejected(cluster, validRequest(number++).put("crew", "nobody"), 422, "unknown team");
        assertRejected(cluster, validRequest(number++).put("cpus", 17), 422, "more CPUs than its machine type has");
        assertRejected(cluster, validRequest(number++).put("mem_gb", 65), 422, "more memory than its machine type has");
        assertRejected(cluster, validRequest(number++).put("cards", 1), 422, "GPUs, which no machine type has");
        assertRejected(cluster, validRequest(number++).put("shore", "z"), 422, "unknown zone");
        ObjectNode unknownType = validRequest(number++);
        unknownType.putArray("breeds").add("unheard-of");
        assertRejected(cluster, unknownType, 422, "unknown machine type");
        ObjectNode emptyTypes = validRequest(number++);
        emptyTypes.putArray("breeds");
        assertRejected(cluster, emptyTypes, 422, "empty list of machine types");
        ObjectNode overLimit = validRequest(number++).put("crew", "red").put("cpus", 25);
        overLimit.remove("breeds");
        assertRejected(cluster, overLimit, 422, "one task exceeds the quota of its team");
    }

    /** A submission with one or two altered fields gets 400 exactly if it cannot be parsed. */
    @Property(tries = 300, seed = "31")
    void alteredSubmissionsGet400ExactlyIfTheyCannotBeParsed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int number = nextNumber++;
        ObjectNode node = validRequest(number);
        List<String> fields =
                node.properties().stream().map(entry -> entry.getKey()).toList();
        for (int i = 1 + random.nextInt(2); i > 0; i--) {
            String field = fields.get(random.nextInt(fields.size()));
            List<JsonNode> values = invalidValues(field, validRequest(1).get(field));
            node.set(field, values.get(random.nextInt(values.size())));
        }
        boolean parseable = true;
        try {
            JobRequest.parse(Cbor.decode(Cbor.encode(node)));
        } catch (MalformedMessageException e) {
            parseable = false;
        }
        int status = submit(sharedCluster, Cbor.encode(node));
        assertThat(status).isIn(parseable ? List.of(201, 422) : List.of(400));
        String id = String.format("run-%06d", number);
        assertThat(query(sharedCluster, id)).isEqualTo(status == 201 ? 200 : 404);
    }

    @Test
    void bodiesOtherThanASingleCborMapGet400AndTheNextSubmissionIsAccepted() {
        cluster.run(Duration.ofSeconds(15));
        byte[] validBody = Cbor.encode(validRequest(1));
        for (byte[] body : List.of(
                new byte[0],
                new byte[] {1},
                new byte[] {(byte) 0xff},
                "not CBOR at all".getBytes(StandardCharsets.UTF_8),
                Arrays.copyOf(validBody, validBody.length - 1),
                Arrays.copyOf(validBody, validBody.length + 1),
                Cbor.encode(JSON_NODES.arrayNode()))) {
            assertThat(submit(cluster, body)).isEqualTo(400);
        }
        assertThat(query(cluster, "run-000001")).isEqualTo(404);
        assertThat(submit(cluster, validBody)).isEqualTo(201);
    }

    @Test
    void unknownIdsGet404() {
        cluster.run(Duration.ofSeconds(15));
        for (String id : List.of(
                "run-999999", "run-", "run--1", "job-000001", "run-0000011111111111111", "", "a/b", "%2e%2e/run-1")) {
            assertThat(query(cluster, id)).as("query of " + id).isEqualTo(404);
            assertThat(cancel(cluster, id)).as("cancellation of " + id).isEqualTo(404);
        }
        assertThat(cluster.responses.of(Kind.QUERY)).noneMatch(entry -> entry.status() == 200);
    }

    /**
     * A submission that reuses the id of a known job gets the state of that job, even if its other fields differ or are
     * infeasible.
     */
    @Test
    void alteredResubmissionsGetTheStateOfTheJob() throws MalformedMessageException {
        cluster.run(Duration.ofSeconds(15));
        TestUser running = cluster.submit(1, "blue", Priority.HIGH, 1, 4, Duration.ofMinutes(5));
        TestUser done = cluster.submit(2, "blue", Priority.HIGH, 1, 4, Duration.ofSeconds(2));
        TestUser cancelled = cluster.submit(3, "blue", Priority.HIGH, 1, 4, Duration.ofMinutes(5));
        cluster.run(Duration.ofSeconds(30));
        cancelled.cancel();
        cluster.run(Duration.ofSeconds(10));
        assertThat(cluster.invariants.reportedState(done.request.id())).isEqualTo("done");
        for (TestUser user : List.of(running, done, cancelled)) {
            String state = user == running ? "running" : user == done ? "done" : "aborted";
            ObjectNode node = user.request.toNode();
            for (ObjectNode altered : List.of(
                    node.deepCopy().put("legs", 7),
                    node.deepCopy().put("cpus", 1000),
                    node.deepCopy().put("crew", "nobody"),
                    node.deepCopy().put("shore", "z"),
                    node.deepCopy().put("rank", "idle"))) {
                for (String controller : cluster.nodes()) {
                    List<HttpResponse> responses = new ArrayList<>();
                    cluster.network
                            .client("users", cluster.time.newProcess())
                            .call(
                                    cluster.address(controller),
                                    HttpRequest.post("/v2/runs", Cbor.encode(altered), Duration.ofSeconds(5)),
                                    responses::add);
                    cluster.run(Duration.ofSeconds(2));
                    assertThat(responses.get(0).status()).isEqualTo(200);
                    assertThat(Cbor.decode(responses.get(0).body()).path("tide").asText())
                            .isEqualTo(state);
                }
            }
        }
        assertThat(cluster.violations).isEmpty();
    }

    /**
     * Heartbeats with altered bytes or fields are answered, and the controller still passes health checks afterwards.
     */
    @Property(tries = 200, seed = "32")
    void malformedHeartbeatsAreAnsweredAndTheControllerStaysHealthy(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ObjectNode heartbeat = Cbor.map()
                .put("perch", "vm-900000")
                .put("endpoint", "10.1.9.9:9000")
                .put("breed", "small")
                .put("shore", "a")
                .put("driftwood", false)
                .put("flight", 1)
                .put("tally", random.nextInt(100))
                .put("baton", 0)
                .put("later_field", "ignored");
        heartbeat
                .putArray("legs")
                .addObject()
                .put("leg", "run-000001/0")
                .put("launch", 1)
                .put("tide", "levitating")
                .put("cause", "boredom");
        List<String> fields =
                heartbeat.properties().stream().map(entry -> entry.getKey()).toList();
        JsonNode altered = List.of(
                        JSON_NODES.nullNode(),
                        JSON_NODES.textNode(""),
                        JSON_NODES.numberNode(-1),
                        JSON_NODES.numberNode(1e300),
                        JSON_NODES.numberNode(BigInteger.TWO.pow(70)),
                        JSON_NODES.arrayNode().add(JSON_NODES.objectNode()),
                        JSON_NODES.objectNode())
                .get(random.nextInt(7));
        heartbeat.set(fields.get(random.nextInt(fields.size())), altered);
        byte[] body = Cbor.encode(heartbeat);
        if (random.nextBoolean()) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        int status = send(sharedCluster, HttpRequest.post("/agent/beat", body, Duration.ofSeconds(4)));
        // 421 redirects the agent to another controller; 503 rejects the heartbeat for now.
        assertThat(status).isIn(200, 400, 421, 503);
        assertThat(send(sharedCluster, HttpRequest.get("/up", Duration.ofSeconds(1))))
                .isEqualTo(200);
    }
}
