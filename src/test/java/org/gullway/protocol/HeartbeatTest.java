package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * {@link HeartbeatReader} accepts and rejects the same heartbeats as a slower decoder in this test that uses
 * {@link MessageFields}, with the same result, and allocates little.
 */
class HeartbeatTest {
    private static final int TASKS = 8;

    private static ObjectNode heartbeat(long sequence, int tasks, String phase) {
        ObjectNode node = Cbor.map()
                .put("perch", "vm-000231")
                .put("endpoint", "10.1.0.232:9000")
                .put("breed", "g8")
                .put("shore", "a")
                .put("driftwood", true)
                .put("flight", 1)
                .put("tally", sequence)
                .put("baton", 41)
                .putNull("warning_s");
        ArrayNode legs = node.putArray("legs");
        for (int i = 0; i < tasks; i++) {
            ObjectNode leg = legs.addObject()
                    .put("leg", "run-000412/" + i)
                    .put("launch", 2)
                    .put("tide", phase);
            if (phase.equals("ended")) {
                leg.put("cause", i % 2 == 0 ? "done" : "halted").put("stored", i % 2 != 0);
            }
        }
        return node;
    }

    private static Heartbeat read(byte[] body) throws MalformedMessageException {
        return Heartbeat.parse(body, machine -> null);
    }

    private static Heartbeat read(byte[] body, Heartbeat last) throws MalformedMessageException {
        return Heartbeat.parse(body, machine -> last.machine().equals(machine) ? last : null);
    }

    /** Decodes the heartbeat with {@link MessageFields}; {@link HeartbeatReader} must return the same. */
    private static Heartbeat expected(byte[] body) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(Cbor.decode(body));
        List<TaskStatus> tasks = new ArrayList<>();
        for (MessageFields leg : fields.list("legs")) {
            TaskStatus.Phase phase = TaskStatus.Phase.of(leg.text("tide"));
            TaskStatus.Cause cause = phase != TaskStatus.Phase.ENDED
                    ? null
                    : leg.has("cause") ? TaskStatus.Cause.of(leg.text("cause")) : TaskStatus.Cause.OTHER;
            tasks.add(new TaskStatus(
                    TaskId.parse(leg.text("leg")),
                    leg.count("launch"),
                    phase,
                    cause,
                    leg.has("stored") && leg.flag("stored")));
        }
        return new Heartbeat(
                fields.text("perch"),
                fields.text("endpoint"),
                fields.text("breed"),
                fields.text("shore"),
                fields.flag("driftwood"),
                fields.count("flight"),
                fields.count("tally"),
                fields.count("baton"),
                fields.secondsOrNull("warning_s"),
                tasks);
    }

    @Test
    void readsAllFieldsAndIgnoresOthers() throws MalformedMessageException {
        ObjectNode node = heartbeat(88, 3, "ended").put("warning_s", 12.5).put("later", 1);
        node.putObject("more").putArray("items").add("x").addObject();
        byte[] body = Cbor.encode(node);
        Heartbeat read = read(body);
        assertThat(read).isEqualTo(expected(body));
        assertThat(read.spotNotice()).isEqualTo(Duration.ofMillis(12_500));
        assertThat(read.tasks().get(1).cause()).isEqualTo(TaskStatus.Cause.STOPPED);
        assertThat(read.tasks().get(1).checkpointed()).isTrue();
    }

    @Test
    void agreesWithMessageFieldsOnInvalidAndMissingValues() {
        List<JsonNode> testedValues = List.of(
                Cbor.map(),
                Cbor.map().putArray("x"),
                Cbor.map().put("x", -1).path("x"),
                Cbor.map().put("x", 1.5).path("x"),
                Cbor.map().put("x", 2e9).path("x"),
                Cbor.map().put("x", new BigInteger("9223372036854775808")).path("x"),
                Cbor.map().put("x", new BigInteger("18446744073709551615")).path("x"),
                Cbor.map().put("x", Long.MAX_VALUE).path("x"),
                Cbor.map().put("x", "").path("x"),
                Cbor.map().put("x", "y".repeat(200)).path("x"),
                Cbor.map().put("x", "y".repeat(201)).path("x"),
                Cbor.map().put("x", "run-1/07").path("x"),
                Cbor.map().put("x", "run-1/-1").path("x"),
                Cbor.map().put("x", "running").path("x"),
                Cbor.map().put("x", true).path("x"),
                Cbor.map().putNull("x").path("x"));
        for (String phase : List.of("running", "ended")) {
            ObjectNode sample = heartbeat(88, 2, phase);
            sample.fieldNames().forEachRemaining(name -> {
                for (JsonNode value : testedValues) {
                    assertAgrees(Cbor.encode(sample.deepCopy().set(name, value)));
                }
                assertAgrees(Cbor.encode(sample.deepCopy().without(name)));
            });
            for (String name : List.of("leg", "launch", "tide", "cause", "stored", "other")) {
                for (JsonNode value : testedValues) {
                    ObjectNode changed = sample.deepCopy();
                    ((ObjectNode) changed.path("legs").get(1)).set(name, value);
                    assertAgrees(Cbor.encode(changed));
                }
                ObjectNode changed = sample.deepCopy();
                ((ObjectNode) changed.path("legs").get(0)).remove(name);
                assertAgrees(Cbor.encode(changed));
            }
        }
    }

    @Test
    void rejectsEveryTruncatedHeartbeatAndTrailingBytes() {
        byte[] whole = Cbor.encode(heartbeat(88, 2, "ended"));
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThatThrownBy(() -> read(part)).isInstanceOf(MalformedMessageException.class);
        }
        assertThatThrownBy(() -> read(Arrays.copyOf(whole, whole.length + 1)))
                .isInstanceOf(MalformedMessageException.class);
    }

    /** Guards against a task id that is accepted although no command with it can be encoded. */
    @Test
    void rejectsTextsThatAreNotValidUtf8() {
        ObjectNode sample = heartbeat(88, 2, "ended");
        List<ObjectNode> changed = new ArrayList<>();
        for (String name : List.of("perch", "endpoint", "breed", "shore", "unknown_field")) {
            changed.add(sample.deepCopy().put(name, InvalidTexts.PLACEHOLDER));
        }
        for (String name : List.of("leg", "tide", "cause", "unknown_field")) {
            ObjectNode node = sample.deepCopy();
            ((ObjectNode) node.path("legs").get(1))
                    .put(name, InvalidTexts.PLACEHOLDER + (name.equals("leg") ? "/0" : ""));
            changed.add(node);
        }
        for (ObjectNode node : changed) {
            for (String sequence : InvalidTexts.SEQUENCES) {
                byte[] body = InvalidTexts.replacePlaceholder(Cbor.encode(node), sequence);
                assertThatThrownBy(() -> read(body))
                        .as("%s in %s", sequence, node)
                        .isInstanceOf(MalformedMessageException.class);
            }
        }
    }

    @Test
    void corruptedHeartbeatsCauseOnlyMalformedMessageExceptions() {
        SplittableRandom random = new SplittableRandom(7);
        byte[] whole = Cbor.encode(heartbeat(88, 4, "ended"));
        for (int i = 0; i < 20_000; i++) {
            byte[] corrupted = whole.clone();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            try {
                read(corrupted);
            } catch (MalformedMessageException e) {
                assertThat(e.getMessage()).isNotEmpty();
            }
        }
    }

    @Test
    void reusesUnchangedPartsOfTheLastHeartbeat() throws MalformedMessageException {
        Heartbeat last = read(Cbor.encode(heartbeat(88, TASKS, "running")));
        Heartbeat same = read(Cbor.encode(heartbeat(89, TASKS, "running")), last);
        assertThat(same).isEqualTo(read(Cbor.encode(heartbeat(89, TASKS, "running"))));
        assertThat(same.tasks()).isSameAs(last.tasks());

        ObjectNode node = heartbeat(90, TASKS, "running");
        ((ObjectNode) node.path("legs").get(3)).put("tide", "saving");
        Heartbeat one = read(Cbor.encode(node), last);
        assertThat(one).isEqualTo(expected(Cbor.encode(node)));
        assertThat(one.tasks().get(4)).isSameAs(last.tasks().get(4));
    }

    @Test
    void resultDoesNotDependOnTheLastHeartbeat() throws MalformedMessageException {
        List<ObjectNode> messages = new ArrayList<>();
        for (int tasks : List.of(0, 1, 3, TASKS)) {
            for (String phase : List.of("fetching", "running", "ended")) {
                messages.add(heartbeat(1, tasks, phase));
                ObjectNode shifted = heartbeat(2, tasks, phase);
                if (tasks > 0) {
                    ((ArrayNode) shifted.path("legs")).remove(0);
                }
                messages.add(shifted);
            }
        }
        for (ObjectNode first : messages) {
            Heartbeat last = read(Cbor.encode(first));
            for (ObjectNode second : messages) {
                byte[] body = Cbor.encode(second);
                assertThat(read(body, last)).isEqualTo(expected(body));
            }
        }
    }

    /** For an unchanged task, Jackson allocates strings for its id and phase; the reader itself allocates nothing. */
    @Test
    void anUnchangedHeartbeatAllocatesLittle() throws MalformedMessageException {
        long withoutTasks = allocatedPerHeartbeat(0);
        long withTasks = allocatedPerHeartbeat(40);
        assertThat(withoutTasks).as("bytes for a heartbeat without tasks").isLessThan(1800);
        assertThat((withTasks - withoutTasks) / 40).as("bytes for each task").isLessThan(280);
    }

    private static long allocatedPerHeartbeat(int tasks) throws MalformedMessageException {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        int messages = 2000;
        byte[][] bodies = new byte[messages][];
        for (int i = 0; i < messages; i++) {
            bodies[i] = Cbor.encode(heartbeat(100 + i, tasks, "running"));
        }
        Heartbeat last = read(bodies[0]);
        long before = 0;
        // The first pass warms up; only the second is measured.
        for (int pass = 0; pass < 2; pass++) {
            before = threads.getThreadAllocatedBytes(thread);
            for (byte[] body : bodies) {
                last = read(body, last);
            }
        }
        return (threads.getThreadAllocatedBytes(thread) - before) / messages;
    }

    private static void assertAgrees(byte[] body) {
        Heartbeat expectedHeartbeat;
        try {
            expectedHeartbeat = expected(body);
        } catch (MalformedMessageException e) {
            assertThatThrownBy(() -> read(body)).isInstanceOf(MalformedMessageException.class);
            return;
        }
        try {
            assertThat(read(body)).isEqualTo(expectedHeartbeat);
        } catch (MalformedMessageException e) {
            throw new AssertionError("rejected although it is well-formed: " + expectedHeartbeat, e);
        }
    }

    @Test
    void responseWithoutCommandsIsReusedUntilTheFencingTokenChanges() throws MalformedMessageException {
        HeartbeatResponseEncoder encoder = new HeartbeatResponseEncoder();
        byte[] first = encoder.encode(Count.of(41), List.of());
        assertThat(encoder.encode(Count.of(41), List.of()))
                .isSameAs(first)
                .isEqualTo(AgentCommand.encodeResponse(Count.of(41), List.of()));
        List<AgentCommand> commands = List.of(AgentCommand.start(TaskId.parse("run-000412/4"), Count.of(2)));
        assertThat(encoder.encode(Count.of(41), commands))
                .isEqualTo(AgentCommand.encodeResponse(Count.of(41), commands));
        assertThat(encoder.encode(Count.of(42), List.of()))
                .isEqualTo(AgentCommand.encodeResponse(Count.of(42), List.of()));
        assertThat(encoder.encode(Count.of(41), List.of())).isEqualTo(first);
    }
}
