package org.gullway.fake;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpStatus;
import org.junit.jupiter.api.Test;

/**
 * Tests that the simulated systems follow their protocols and that injected faults behave as documented. All tests that
 * inject faults rely on this.
 */
class FakesTest {
    private static final String STORE_ADDRESS = "10.2.0.1:2379";
    private static final String MACHINE_ADDRESS = "10.1.0.7:9000";
    private static final String CONTROLLER_ADDRESS = "10.0.0.1:8080";
    private static final String OTHER_CONTROLLER_ADDRESS = "10.0.0.2:8080";
    private static final Duration LEASE = Duration.ofSeconds(20);
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(3), 0);
    private final FakeStateStore store = new FakeStateStore(loop);
    private final HttpClient firstClient = network.client("perch-0", loop);
    private final HttpClient secondClient = network.client("perch-1", loop);
    private final List<String> events = new ArrayList<>();
    private int heartbeats;
    private long fencingToken = 1;

    FakesTest() {
        network.listen(STORE_ADDRESS, loop, store::handle);
    }

    private void run(double seconds) {
        time.runUntil(time.now().plusMillis(Math.round(seconds * 1000)));
    }

    private List<Integer> call(HttpClient client, HttpRequest request) {
        List<Integer> statuses = new ArrayList<>();
        client.call(STORE_ADDRESS, request, response -> statuses.add(response.status()));
        return statuses;
    }

    private List<Integer> put(HttpClient client, int value) {
        ObjectNode node = Cbor.map();
        node.putArray("then").addObject().put("put", "a/b").put("v", value);
        return call(client, HttpRequest.post("/commit", Cbor.encode(node), Duration.ofSeconds(3)));
    }

    private List<Integer> watch(HttpClient client, long from, int timeoutMillis) {
        return call(
                client,
                HttpRequest.get("/watch?under=a/&from=" + from + "&block_ms=" + timeoutMillis, Duration.ofMinutes(2)));
    }

    @Test
    void aRejectedClientGets503AndItsWatchesStayOpenPastTheirTimeout() {
        List<Integer> rejectedWatch = watch(firstClient, 0, 5000);
        List<Integer> otherWatch = watch(secondClient, 0, 5000);
        run(0.1);
        store.rejectFrom("perch-0", true);
        // There is no response before simulated time advances.
        assertThat(call(firstClient, HttpRequest.get("/store/a/b", Duration.ofSeconds(2))))
                .isEmpty();
        List<Integer> put = put(secondClient, 1);
        List<Integer> rejectedPut = put(firstClient, 2);
        run(30);
        assertThat(put).containsExactly(200);
        assertThat(rejectedPut).containsExactly(503);
        assertThat(otherWatch).containsExactly(200);
        assertThat(rejectedWatch).isEmpty();
        store.rejectFrom("perch-0", false);
        run(0.1);
        assertThat(rejectedWatch).containsExactly(200);
    }

    @Test
    void theLeaseOfARejectedClientExpires() {
        call(
                firstClient,
                HttpRequest.post("/grants", Cbor.encode(Cbor.map().put("life_ms", 3000)), Duration.ofSeconds(2)));
        run(0.1);
        store.rejectFrom("perch-0", true);
        run(4);
        store.rejectFrom("perch-0", false);
        List<Integer> renewal =
                call(firstClient, HttpRequest.post("/grants/1/renew", Cbor.encode(Cbor.map()), Duration.ofSeconds(2)));
        run(0.1);
        assertThat(renewal).containsExactly(404);
    }

    @Test
    void watchesStayOpenDuringAnOutage() {
        List<Integer> watch = watch(firstClient, 0, 2000);
        run(0.1);
        store.setDown(true);
        run(10);
        assertThat(watch).isEmpty();
        store.setDown(false);
        run(0.1);
        assertThat(watch).containsExactly(200);
    }

    @Test
    void aDelayedTransactionIsAppliedAfterANewerOne() {
        store.delayCommits(1, new SplittableRandom(5));
        List<Integer> delayedPut = put(firstClient, 1);
        run(0.1);
        store.delayCommits(0, new SplittableRandom(5));
        List<Integer> newerPut = put(firstClient, 2);
        run(1);
        assertThat(newerPut).containsExactly(200);
        assertThat(store.value("a/b").asInt()).isEqualTo(2);
        run(12);
        assertThat(delayedPut)
                .as("status 0: the client times out without a response")
                .containsExactly(0);
        assertThat(store.value("a/b").asInt()).isEqualTo(1);
    }

    @Test
    void addedLatencyDelaysResponses() {
        store.addLatency(800, new SplittableRandom(5));
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            secondClient.call(
                    STORE_ADDRESS,
                    HttpRequest.get("/store/a/b", Duration.ofSeconds(2)),
                    response -> statuses.add(response.status()));
        }
        run(0.1);
        assertThat(statuses).hasSizeLessThan(10);
        run(1);
        assertThat(statuses).hasSize(20).containsOnly(404);
    }

    /** Every job has tasks that run for one minute. Records their starts and ends. */
    private final class OneMinuteTasks implements FakeAgent.Environment {
        @Override
        public JobRequest jobOf(String job) {
            return new JobRequest(
                    job,
                    "render",
                    "red",
                    JobRequest.Shape.ARRAY,
                    Priority.HIGH,
                    2,
                    4,
                    0,
                    4,
                    "img",
                    1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    LEASE,
                    Duration.ZERO,
                    Duration.ZERO,
                    null);
        }

        @Override
        public Duration runTime(String job) {
            return Duration.ofSeconds(60);
        }

        @Override
        public void onTaskStarted(String machine, String task) {
            events.add(task + " began");
        }

        @Override
        public void onTaskEnded(String machine, String task, boolean completed) {
            events.add(task + (completed ? " done" : " stopped") + " at "
                    + time.now().getEpochSecond());
        }
    }

    /**
     * Starts an agent with one running task of one minute. A controller accepts its heartbeats with the current token.
     */
    private FakeAgent startAgentWithRunningTask() {
        network.listen(CONTROLLER_ADDRESS, loop, exchange -> {
            heartbeats++;
            exchange.respond(HttpStatus.OK, Cbor.encode(Cbor.map().put("baton", fencingToken)));
        });
        FakeAgent agent = new FakeAgent(
                loop,
                network.client("vm-000007", loop),
                new OneMinuteTasks(),
                new SplittableRandom(1),
                new FakeAgent.Machine("vm-000007", MACHINE_ADDRESS, new FakeAgent.Kind("small", "a", true, 16)),
                Map.of("perch-0", CONTROLLER_ADDRESS),
                new FakeAgent.Timing(Duration.ofSeconds(3), LEASE));
        network.listen(MACHINE_ADDRESS, loop, agent::handle);
        command(1, "start", "run-000001/0");
        run(1);
        assertThat(events).containsExactly("run-000001/0 began");
        return agent;
    }

    private List<Integer> command(long agentEpoch, String verb, String task) {
        ObjectNode node = Cbor.map().put("baton", fencingToken).put("flight", agentEpoch);
        node.putArray("calls").addObject().put("call", verb).put("leg", task).put("launch", 1);
        List<Integer> statuses = new ArrayList<>();
        firstClient.call(
                MACHINE_ADDRESS,
                HttpRequest.post("/do", Cbor.encode(node), Duration.ofSeconds(30)),
                response -> statuses.add(response.status()));
        return statuses;
    }

    @Test
    void aMachineThatHangsWithinItsLeaseResumesItsTasksAndThenExecutesCommands() {
        FakeAgent agent = startAgentWithRunningTask();
        agent.hang(Duration.ofSeconds(12));
        int heartbeatsBefore = heartbeats;
        List<Integer> start = command(1, "start", "run-000001/1");
        run(11);
        assertThat(heartbeats).isEqualTo(heartbeatsBefore);
        assertThat(start).isEmpty();
        assertThat(events).hasSize(1);
        run(2);
        assertThat(start).containsExactly(200);
        assertThat(heartbeats).isGreaterThan(heartbeatsBefore);
        run(70);
        assertThat(events)
                .containsExactly(
                        "run-000001/0 began",
                        "run-000001/1 began",
                        "run-000001/0 done at 72",
                        "run-000001/1 done at 73");
    }

    @Test
    void aMachineThatHangsBeyondItsLeaseKillsItsTasksBeforeItReadsCommands() {
        FakeAgent agent = startAgentWithRunningTask();
        agent.hang(Duration.ofSeconds(25));
        List<Integer> start = command(1, "start", "run-000001/1");
        run(24);
        assertThat(events)
                .as("the task is not killed before the machine resumes")
                .hasSize(1);
        run(2);
        assertThat(start).as("command for the previous agent epoch").containsExactly(409);
        assertThat(events).containsExactly("run-000001/0 began", "run-000001/0 stopped at 26");
        // There is no response before simulated time advances.
        assertThat(command(2, "start", "run-000001/1")).isEmpty();
        run(1);
        assertThat(events).hasSize(3);
    }

    @Test
    void aMachineWithAnOutboundPartitionStillExecutesCommands() {
        startAgentWithRunningTask();
        network.blockOutbound("vm-000007", true);
        int heartbeatsBefore = heartbeats;
        List<Integer> stop = command(1, "halt", "run-000001/0");
        run(8);
        assertThat(heartbeats).isEqualTo(heartbeatsBefore);
        assertThat(stop).containsExactly(200);
        List<Integer> inspected = new ArrayList<>();
        firstClient.call(
                MACHINE_ADDRESS,
                HttpRequest.get("/inspect", Duration.ofSeconds(2)),
                response -> inspected.add(response.status()));
        run(1);
        assertThat(inspected).containsExactly(200);
    }

    @Test
    void heldHeartbeatsAreDeliveredToAnotherController() {
        startAgentWithRunningTask();
        int[] heartbeatsElsewhere = new int[1];
        network.listen(OTHER_CONTROLLER_ADDRESS, loop, exchange -> heartbeatsElsewhere[0]++);
        network.holdRequests("vm-000007");
        int heartbeatsBefore = heartbeats;
        run(15);
        assertThat(heartbeats).isEqualTo(heartbeatsBefore);
        network.release("vm-000007", OTHER_CONTROLLER_ADDRESS);
        run(0.2);
        assertThat(heartbeatsElsewhere[0]).isBetween(2, 5);
    }
}
