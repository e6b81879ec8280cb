package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.gullway.golden.GoldenFile;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Messages of users, agents, the cloud provider and peers have the encoding that the golden file records, and a
 * recorded message is decoded to the recorded values.
 */
class GoldenMessagesTest {
    private static final GoldenFile GOLDEN = GoldenFile.of("messages");

    // Messages of users

    /** @param allFields whether to set every optional field, and every flag except singleZone */
    private static JobRequest request(JobRequest.Shape shape, Priority priority, boolean allFields) {
        return new JobRequest(
                "run-000412",
                "render",
                "red",
                shape,
                priority,
                300,
                1.5,
                allFields ? 2 : 0,
                6.25,
                "img-1",
                0.5,
                allFields ? List.of("small", "large") : null,
                allFields ? "b" : null,
                !allFields,
                allFields,
                allFields,
                Duration.ofMillis(12_500),
                allFields ? Duration.ofSeconds(20) : Duration.ZERO,
                allFields ? Duration.ofMillis(1500) : Duration.ZERO,
                allFields ? Duration.ofMinutes(2) : null);
    }

    @Test
    void submissionEncodingIsUnchanged() throws MalformedMessageException {
        for (JobRequest.Shape shape : JobRequest.Shape.values()) {
            for (Priority priority : Priority.values()) {
                for (boolean allFields : new boolean[] {false, true}) {
                    String name = "submission-" + GoldenFile.position(shape) + "-" + GoldenFile.position(priority)
                            + (allFields ? "-all" : "-least");
                    JobRequest request = request(shape, priority, allFields);
                    GOLDEN.check(name, Cbor.encode(request.toNode()));
                    JobRequest read = JobRequest.parse(Cbor.decode(GOLDEN.bytes(name)));
                    assertThat(read).isEqualTo(request);
                    assertThat(Cbor.encode(read.toNode())).isEqualTo(GOLDEN.bytes(name));
                }
            }
        }
    }

    @Test
    void jobStatusEncodingIsUnchanged() throws MalformedMessageException {
        for (JobState state : JobState.values()) {
            GOLDEN.check("status-" + state.wireName(), Cbor.encode(new JobStatus("run-000412", state, 3, 2).toNode()));
            assertThat(JobState.of(state.wireName())).isEqualTo(state);
        }
    }

    // Messages of agents

    private static ObjectNode heartbeat(Long warningSeconds) {
        ObjectNode node = Cbor.map()
                .put("perch", "vm-000001")
                .put("endpoint", "10.1.0.1:9000")
                .put("breed", "small")
                .put("shore", "a")
                .put("driftwood", true)
                .put("flight", 3)
                .put("tally", 4_294_967_300L)
                .put("baton", 9);
        if (warningSeconds == null) {
            node.putNull("warning_s");
        } else {
            node.put("warning_s", warningSeconds.doubleValue());
        }
        return node;
    }

    private static void addTask(ArrayNode legs, String state, String cause, Boolean stored) {
        ObjectNode leg = legs.addObject()
                .put("leg", "run-000412/" + legs.size())
                .put("launch", 30 + legs.size())
                .put("tide", state);
        if (cause != null) {
            leg.put("cause", cause);
        }
        if (stored != null) {
            leg.put("stored", stored);
        }
    }

    private static String toText(Heartbeat read) {
        List<String> lines = new ArrayList<>();
        lines.add(GoldenFile.line(
                read.machine(),
                read.address(),
                read.type(),
                read.zone(),
                read.spot(),
                read.agentEpoch(),
                read.sequence(),
                read.fencingToken(),
                read.spotNotice()));
        for (TaskStatus task : read.tasks()) {
            lines.add(GoldenFile.line(
                    task.task().job(),
                    task.task().index(),
                    task.attempt(),
                    GoldenFile.position(task.phase()),
                    task.cause() == null ? "none" : GoldenFile.position(task.cause()),
                    task.checkpointed(),
                    task.isEnded()));
        }
        return String.join("\n", lines);
    }

    @Test
    void heartbeatDecodingIsUnchanged() throws MalformedMessageException {
        ObjectNode full = heartbeat(30L);
        ArrayNode legs = full.putArray("legs");
        for (String state : List.of("fetching", "gathering", "running", "saving", "later")) {
            addTask(legs, state, null, null);
        }
        for (String cause : List.of("done", "halted", "error", "full", "busy", "no_such", "later")) {
            addTask(legs, "ended", cause, true);
        }
        addTask(legs, "ended", null, false);
        checkHeartbeat("report-full", full);
        checkHeartbeat("report-without-tasks", heartbeat(null));
    }

    private static void checkHeartbeat(String name, ObjectNode node) throws MalformedMessageException {
        GOLDEN.check(name, Cbor.encode(node));
        GOLDEN.checkText(name + ".read", toText(Heartbeat.parse(GOLDEN.bytes(name), machine -> null)));
    }

    @Test
    void commandEncodingIsUnchanged() {
        TaskId task = new TaskId("run-000412", 3);
        List<AgentCommand> commands = List.of(
                AgentCommand.start(task, Count.of(31)),
                AgentCommand.stop(task, Count.of(30), Duration.ofMillis(4500)),
                AgentCommand.stop(task, Count.of(29), Duration.ZERO),
                AgentCommand.forget(task, Count.of(28)));
        GOLDEN.check("report-answer", AgentCommand.encodeResponse(Count.of(9), commands));
        GOLDEN.check("report-answer-empty", AgentCommand.encodeResponse(Count.of(9), List.of()));
        GOLDEN.check("report-answer-cached", new HeartbeatResponseEncoder().encode(Count.of(9), List.of()));
        GOLDEN.check("direct-command", AgentCommand.encodeDirect(Count.of(9), Count.of(3), commands));
        GOLDEN.check("redirect", AgentCommand.encodeRedirect("perch-2"));
        GOLDEN.check("redirect-anywhere", AgentCommand.encodeRedirectToAny());
    }

    // Messages of the cloud provider

    @Test
    void cloudRequestEncodingIsUnchanged() {
        GOLDEN.check("rental", CloudMessages.encodeProvisionRequest("perch-0-1z-4", "small", "a", true, 17));
        GOLDEN.check("return", CloudMessages.encodeRelease(List.of("vm-000001", "vm-000002")));
    }

    @Test
    void cloudResponseDecodingIsUnchanged() throws MalformedMessageException {
        ObjectNode types = Cbor.map();
        ArrayNode breeds = types.putArray("breeds");
        ObjectNode full = breeds.addObject()
                .put("name", "small")
                .put("cpus", 16)
                .put("cards", 2.0)
                .put("mem_gb", 64.5)
                .put("local_gb", 50)
                .put("pull_gb_per_s", 1.25)
                .put("price", 0.96)
                .put("low_price", 0.29)
                .put("startup_s", 50.0);
        full.putArray("shores").add("a").add("b");
        ObjectNode least = full.deepCopy();
        least.remove(List.of("cards", "shores"));
        breeds.add(least);
        GOLDEN.check("types", Cbor.encode(types));
        List<String> lines = new ArrayList<>();
        for (MachineType type : CloudMessages.decodeTypes(GOLDEN.bytes("types"), Assertions::fail)) {
            lines.add(GoldenFile.line(
                    type.name(),
                    type.cpus(),
                    type.gpus(),
                    type.memoryGb(),
                    type.localDiskGb(),
                    type.imagePullGbPerSecond(),
                    type.price(),
                    type.spotPrice(),
                    type.bootTime(),
                    type.zones()));
        }
        GOLDEN.checkText("types.read", String.join("\n", lines));
        ObjectNode provisioned = Cbor.map();
        provisioned.putArray("perches").add("vm-000001").add("vm-000002");
        GOLDEN.check("rented", Cbor.encode(provisioned));
        GOLDEN.checkText("rented.read", GoldenFile.line(CloudMessages.decodeProvisioned(GOLDEN.bytes("rented"))));
    }

    @Test
    void machinePageDecodingIsUnchanged() throws MalformedMessageException {
        ObjectNode page = Cbor.map();
        ArrayNode perches = page.putArray("perches");
        for (String state : List.of("booting", "up", "failed")) {
            perches.addObject()
                    .put("name_id", "vm-" + state)
                    .put("endpoint", "10.1.0.1:9000")
                    .put("breed", "small")
                    .put("shore", "a")
                    .put("driftwood", perches.size() == 1)
                    .put("tide", state)
                    .put("held_s", 12.5);
        }
        ((ObjectNode) perches.get(0)).remove("endpoint");
        page.put("more", true);
        GOLDEN.check("page", Cbor.encode(page));
        CloudMessages.Page read = CloudMessages.decodePage(GOLDEN.bytes("page"), Assertions::fail);
        List<String> lines = new ArrayList<>(List.of(GoldenFile.line(read.more())));
        for (CloudMessages.ListedMachine machine : read.machines()) {
            lines.add(GoldenFile.line(
                    machine.name(),
                    machine.address(),
                    machine.type(),
                    machine.zone(),
                    machine.spot(),
                    machine.failed(),
                    machine.booting(),
                    machine.age()));
        }
        GOLDEN.checkText("page.read", String.join("\n", lines));
    }

    // Messages between controllers

    @Test
    void resourceOfferEncodingIsUnchanged() throws MalformedMessageException {
        List<ResourceOffer> offers = List.of(
                new ResourceOffer("vm-000001", Count.of(3), List.of()),
                new ResourceOffer("vm-000002", Count.of(4), List.of("perch-0", "perch-2")));
        GOLDEN.check("offers", ResourceOffer.encode(offers));
        GOLDEN.check("offers-none", ResourceOffer.encode(List.of()));
        assertThat(ResourceOffer.decode(GOLDEN.bytes("offers"))).isEqualTo(offers);
        assertThat(ResourceOffer.encode(ResourceOffer.decode(GOLDEN.bytes("offers"))))
                .isEqualTo(GOLDEN.bytes("offers"));
    }

    @Test
    void attemptCompletionEncodingIsUnchanged() throws MalformedMessageException {
        List<AttemptCompletion> completions = List.of(
                new AttemptCompletion(new TaskId("run-000412", 3), Count.of(31), (byte) 0),
                new AttemptCompletion(new TaskId("run-000412", 299), Count.of(4_294_967_300L), (byte) 1),
                new AttemptCompletion(new TaskId("run-000413", 0), Count.ONE, (byte) 2));
        GOLDEN.check("ends", AttemptCompletion.encode(completions));
        assertThat(AttemptCompletion.decode(GOLDEN.bytes("ends"))).isEqualTo(completions);
        assertThat(AttemptCompletion.encode(AttemptCompletion.decode(GOLDEN.bytes("ends"))))
                .isEqualTo(GOLDEN.bytes("ends"));
    }

    @Test
    void cancellationEncodingIsUnchanged() throws MalformedMessageException {
        CancellationQuery query =
                new CancellationQuery("", "", new LinkedHashSet<>(List.of("run-000412", "run-000001")));
        GOLDEN.check("cancellations-known", query.encode());
        assertThat(CancellationQuery.decode(GOLDEN.bytes("cancellations-known")))
                .isEqualTo(query);
        List<PeerCancellations.CancelledJob> jobs = List.of(
                new PeerCancellations.CancelledJob("run-000412", 1_763_618_400_123L, List.of()),
                new PeerCancellations.CancelledJob(
                        "run-000001",
                        1_763_618_400_124L,
                        List.of(
                                new PeerCancellations.CancelledAttempt(3, Count.of(31), "vm-000001", Count.of(3)),
                                new PeerCancellations.CancelledAttempt(
                                        4, Count.of(4_294_967_300L), "vm-000002", Count.of(4)))));
        GOLDEN.check("cancellations", PeerCancellations.encode("perch-2", 7_654_321_098_765L, jobs));
        PeerCancellations read = PeerCancellations.decode(GOLDEN.bytes("cancellations"));
        assertThat(read).isEqualTo(new PeerCancellations("perch-2", 7_654_321_098_765L, true, jobs));
        assertThat(PeerCancellations.encode(read.node(), read.incarnationNumber(), read.jobs()))
                .isEqualTo(GOLDEN.bytes("cancellations"));
    }
}
