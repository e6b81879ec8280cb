package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.InvalidTexts;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpRequest;
import org.junit.jupiter.api.Test;

/** Requests with text that is not valid UTF-8 get 400, and the service goes on. */
class MalformedTextTest {
    private final SimulatedCluster cluster = new SimulatedCluster(5, 0, 3);

    /**
     * Guards against a submission that is answered with 503 in place of 400 and stops all later commits of the
     * controller, since its text cannot be encoded.
     */
    @Test
    void textsThatAreNotValidUtf8Get400AndTheNextSubmissionIsAccepted() {
        cluster.run(Duration.ofSeconds(15));
        int number = 1000;
        List<ObjectNode> nodes = new ArrayList<>();
        for (String field : List.of("name_id", "herd", "crew", "shape", "rank", "kit", "shore", "unknown_field")) {
            nodes.add(BadInputTest.validRequest(number++).put(field, InvalidTexts.PLACEHOLDER));
        }
        ObjectNode withInvalidType = BadInputTest.validRequest(number++);
        withInvalidType.putArray("breeds").add("small").add(InvalidTexts.PLACEHOLDER);
        nodes.add(withInvalidType);
        nodes.add(
                BadInputTest.validRequest(number++).put(InvalidTexts.PLACEHOLDER, "value of a key that is not valid"));
        for (ObjectNode node : nodes) {
            for (String sequence : InvalidTexts.SEQUENCES) {
                byte[] body = InvalidTexts.replacePlaceholder(Cbor.encode(node), sequence);
                assertThat(post("perch-0", "/v2/runs", body))
                        .as("%s in %s", sequence, node)
                        .isEqualTo(400);
            }
        }
        assertThat(post("perch-0", "/v2/runs", Cbor.encode(BadInputTest.validRequest(1))))
                .isEqualTo(201);
    }

    /**
     * Guards against malformed texts that stop the service: users and agents send them to every controller, and the
     * jobs that are accepted before and after must run.
     */
    @Test
    void jobsRunWhileUsersAndAgentsSendTextsThatAreNotValidUtf8() {
        cluster.run(Duration.ofSeconds(15));
        List<TestUser> users = new ArrayList<>();
        int number = 1000;
        for (String sequence : InvalidTexts.SEQUENCES) {
            users.add(cluster.submit(number % 1000 + 1, "blue", Priority.NORMAL, 2, 4, Duration.ofSeconds(5)));
            byte[] submission = InvalidTexts.replacePlaceholder(
                    Cbor.encode(BadInputTest.validRequest(number++).put("kit", InvalidTexts.PLACEHOLDER)), sequence);
            byte[] heartbeat = InvalidTexts.replacePlaceholder(
                    Cbor.encode(heartbeatWithEndedTask(InvalidTexts.PLACEHOLDER + "/0")), sequence);
            for (String controller : cluster.nodes()) {
                assertThat(post(controller, "/v2/runs", submission)).isEqualTo(400);
                assertThat(post(controller, "/agent/beat", heartbeat)).isEqualTo(400);
            }
        }
        users.add(cluster.submit(number, "red", Priority.HIGH, 2, 4, Duration.ofSeconds(5)));
        cluster.run(Duration.ofSeconds(60));
        assertThat(users).allSatisfy(user -> assertThat(cluster.invariants.reportedState(user.request.id()))
                .isEqualTo("done"));
        assertThat(cluster.violations).isEmpty();
    }

    private int post(String controller, String path, byte[] body) {
        int[] status = new int[1];
        cluster.network
                .client("users", cluster.time.newProcess())
                .call(
                        cluster.address(controller),
                        HttpRequest.post(path, body, Duration.ofSeconds(4)),
                        response -> status[0] = response.status());
        cluster.run(Duration.ofMillis(100));
        return status[0];
    }

    private static ObjectNode heartbeatWithEndedTask(String task) {
        ObjectNode heartbeat = Cbor.map()
                .put("perch", "vm-000001")
                .put("endpoint", "10.1.0.1:9000")
                .put("breed", "small")
                .put("shore", "a")
                .put("driftwood", false)
                .put("flight", 1)
                .put("tally", 1_000_000)
                .put("baton", 1);
        heartbeat
                .putArray("legs")
                .addObject()
                .put("leg", task)
                .put("launch", 1)
                .put("tide", "ended")
                .put("cause", "done");
        return heartbeat;
    }
}
