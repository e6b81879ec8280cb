package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Messages with the longest possible items. Sizes are those of the messages as JSON. */
class MessageLimitsTest {
    private static final int MAX_MESSAGE_BYTES = 64 * 1024;
    private static final String LONGEST_JOB_ID = "run-" + "9".repeat(18);
    private static final int LAST_TASK = 99_999;
    private static final BigInteger MAX_COUNT = new BigInteger("18446744073709551615");

    private static TaskId longestTaskId() {
        return new TaskId(LONGEST_JOB_ID, LAST_TASK);
    }

    private static int jsonBytes(byte[] body) throws MalformedMessageException {
        return Cbor.decode(body).toString().length();
    }

    /** Guards against a machine whose heartbeat, with all attempts that may be on it, is rejected as too large. */
    @Test
    void aHeartbeatWithAllListableAttemptsIsWithinTheLimit() {
        String longestText = "\u0001".repeat(MessageFields.MAX_TEXT_CHARACTERS);
        ObjectNode heartbeat = Cbor.map()
                .put("perch", longestText)
                .put("endpoint", longestText)
                .put("breed", longestText)
                .put("shore", longestText)
                .put("driftwood", false)
                .put("flight", MAX_COUNT)
                .put("tally", MAX_COUNT)
                .put("baton", MAX_COUNT)
                .put("warning_s", 123.456);
        ArrayNode attempts = heartbeat.putArray("legs");
        for (int i = 0; i < MessageLimits.MAX_LISTED_ATTEMPTS; i++) {
            attempts.addObject()
                    .put("leg", longestTaskId().toString())
                    .put("launch", MAX_COUNT)
                    .put("tide", "ended")
                    .put("cause", "halted")
                    .put("stored", false);
        }
        assertThat(heartbeat.toString().length()).isLessThanOrEqualTo(MAX_MESSAGE_BYTES);
        assertThat(MessageLimits.MAX_PLACED_ATTEMPTS).isPositive().isLessThan(MessageLimits.MAX_LISTED_ATTEMPTS);
    }

    /** Guards against commands that an agent rejects as a whole because there are too many of them. */
    @Property(tries = 20, seed = "54")
    void commandsThatDoNotFitAreLeftOut(@ForAll @IntRange(max = 3000) int count) throws MalformedMessageException {
        List<AgentCommand> commands = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            commands.add(AgentCommand.stop(longestTaskId(), Count.MAX, Duration.ofNanos(123_456_789_012_345L)));
        }
        List<AgentCommand> fitting = AgentCommand.firstThatFit(commands);
        assertThat(commands).startsWith(fitting.toArray(AgentCommand[]::new));
        assertThat(fitting).hasSizeGreaterThanOrEqualTo(Math.min(count, MessageLimits.MAX_LISTED_ATTEMPTS));
        assertThat(jsonBytes(AgentCommand.encodeDirect(Count.MAX, Count.MAX, fitting)))
                .isLessThanOrEqualTo(MAX_MESSAGE_BYTES);
        assertThat(jsonBytes(new HeartbeatResponseEncoder().encode(Count.MAX, commands)))
                .isLessThanOrEqualTo(MAX_MESSAGE_BYTES);
    }

    @Property(tries = 300, seed = "55")
    void sizesAreThoseOfTheJsonText(
            @ForAll long number, @ForAll @Size(max = 20) List<@LongRange(max = 127) Long> codes) {
        StringBuilder text = new StringBuilder();
        codes.forEach(code -> text.append((char) code.intValue()));
        ObjectNode node = Cbor.map().put("", text.toString());
        assertThat(JsonSize.ofInteger(number)).isEqualTo(Long.toString(number).length());
        assertThat(JsonSize.ofText(text.toString()))
                .isGreaterThanOrEqualTo(node.path("").toString().length())
                .isLessThanOrEqualTo(JsonSize.maxOfText(text.length()));
    }
}
