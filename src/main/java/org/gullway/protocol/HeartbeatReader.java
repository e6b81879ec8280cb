package org.gullway.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Reads an agent's status from its CBOR form in one pass. Values that equal those of the agent's last message are
 * taken from there, so a heartbeat in which only counters have changed allocates little, however many tasks it lists.
 */
final class HeartbeatReader {
    private static final BigInteger MAX_COUNT = BigInteger.valueOf(Long.MAX_VALUE);

    private static final String TEXT = "a text of 1 to " + MessageFields.MAX_TEXT_LENGTH + " characters";

    private final JsonParser parser;
    private final Function<String, Heartbeat> lastMessages;
    /** The last message of the agent that this one names; null if there is none or the name is still to come. */
    private Heartbeat last;

    private String machine;
    private String address;
    private String type;
    private String zone;
    private Boolean spot;
    private long agentEpoch = -1;
    private long sequence = -1;
    private long fencingToken = -1;
    private Duration notice;
    private List<TaskStatus> tasks = List.of();

    private HeartbeatReader(JsonParser parser, Function<String, Heartbeat> lastMessages) {
        this.parser = parser;
        this.lastMessages = lastMessages;
    }

    /** @param lastMessages the last message of the machine with a name, or null if none is known */
    static Heartbeat read(byte[] body, Function<String, Heartbeat> lastMessages) throws MalformedMessageException {
        try (JsonParser parser = Cbor.parser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("not a map");
            }
            Heartbeat heartbeat = new HeartbeatReader(parser, lastMessages).readMap();
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("bytes after the map");
            }
            return heartbeat;
        } catch (IOException e) {
            throw new MalformedMessageException("not CBOR", e);
        }
    }

    private Heartbeat readMap() throws IOException, MalformedMessageException {
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "perch" -> {
                    machine = text(name, null);
                    last = lastMessages.apply(machine);
                    machine = last == null ? machine : last.machine();
                }
                case "endpoint" -> address = text(name, last == null ? null : last.address());
                case "breed" -> type = text(name, last == null ? null : last.type());
                case "shore" -> zone = text(name, last == null ? null : last.zone());
                case "driftwood" -> spot = flag(name);
                case "flight" -> agentEpoch = count(name);
                case "tally" -> sequence = count(name);
                case "baton" -> fencingToken = count(name);
                case "warning_s" -> notice = seconds(name);
                case "legs" -> tasks = readTasks();
                default -> skip();
            }
        }
        requireEnd();
        requirePresent(machine != null, "perch");
        requirePresent(address != null, "endpoint");
        requirePresent(type != null, "breed");
        requirePresent(zone != null, "shore");
        requirePresent(spot != null, "driftwood");
        requirePresent(agentEpoch >= 0, "flight");
        requirePresent(sequence >= 0, "tally");
        requirePresent(fencingToken >= 0, "baton");
        return new Heartbeat(machine, address, type, zone, spot, agentEpoch, sequence, fencingToken, notice, tasks);
    }

    /** The list of the last message itself if nothing in it has changed. */
    @SuppressWarnings("ReferenceEquality")
    private List<TaskStatus> readTasks() throws IOException, MalformedMessageException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw wrong("legs", "a list");
        }
        List<TaskStatus> before = last == null ? List.of() : last.tasks();
        List<TaskStatus> changed = null;
        int read = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw wrong("legs", "a list of maps");
            }
            TaskStatus known = read < before.size() ? before.get(read) : null;
            TaskStatus task = readTask(known);
            if (changed == null && task != known) {
                changed = new ArrayList<>(before.subList(0, read));
            }
            if (changed != null) {
                changed.add(task);
            }
            read++;
        }
        if (changed != null) {
            return List.copyOf(changed);
        }
        return read == before.size() ? before : List.copyOf(before.subList(0, read));
    }

    /** The status of the task at the same place of the last message, if it is the same. */
    @SuppressWarnings("ReferenceEquality")
    private TaskStatus readTask(TaskStatus known) throws IOException, MalformedMessageException {
        TaskId task = null;
        long attempt = -1;
        TaskStatus.Phase phase = null;
        TaskStatus.Cause cause = null;
        boolean causeIsText = true;
        boolean saved = false;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "leg" -> task = taskId(known == null ? null : known.task());
                case "launch" -> attempt = count("legs[].launch");
                case "tide" -> phase = TaskStatus.Phase.of(text("legs[].tide", "running"));
                case "cause" -> {
                    // Only a task that has ended needs one.
                    causeIsText = isText();
                    if (causeIsText) {
                        cause = TaskStatus.Cause.of(text("legs[].cause", "done"));
                    } else {
                        skip();
                    }
                }
                case "stored" -> saved = flag("legs[].stored");
                default -> skip();
            }
        }
        requireEnd();
        requirePresent(task != null, "legs[].leg");
        requirePresent(attempt >= 0, "legs[].launch");
        requirePresent(phase != null, "legs[].tide");
        cause = causeOf(phase, cause, causeIsText);
        if (known != null
                && known.task() == task
                && known.attempt() == attempt
                && known.phase() == phase
                && known.cause() == cause
                && known.checkpointed() == saved) {
            return known;
        }
        return new TaskStatus(task, attempt, phase, cause, saved);
    }

    /** Only a task that has ended has a cause, {@code OTHER} if the message names none. */
    private static TaskStatus.Cause causeOf(TaskStatus.Phase phase, TaskStatus.Cause cause, boolean causeIsText)
            throws MalformedMessageException {
        if (phase != TaskStatus.Phase.ENDED) {
            return null;
        }
        if (!causeIsText) {
            throw wrong("legs[].cause", TEXT);
        }
        return cause == null ? TaskStatus.Cause.OTHER : cause;
    }

    private TaskId taskId(TaskId known) throws IOException, MalformedMessageException {
        requireText("legs[].leg");
        if (known != null
                && known.isWrittenAs(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength())) {
            return known;
        }
        return TaskId.parse(parser.getText());
    }

    /** The expected text itself if the value equals it. */
    private String text(String name, String expected) throws IOException, MalformedMessageException {
        requireText(name);
        return expected != null && equalsText(expected) ? expected : parser.getText();
    }

    private void requireText(String name) throws IOException, MalformedMessageException {
        if (!isText()) {
            throw wrong(name, TEXT);
        }
    }

    private boolean isText() throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING
                && parser.getTextLength() > 0
                && parser.getTextLength() <= MessageFields.MAX_TEXT_LENGTH;
    }

    private boolean equalsText(String expected) throws IOException {
        int length = parser.getTextLength();
        if (expected.length() != length) {
            return false;
        }
        char[] characters = parser.getTextCharacters();
        int offset = parser.getTextOffset();
        for (int i = 0; i < length; i++) {
            if (characters[offset + i] != expected.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private long count(String name) throws IOException, MalformedMessageException {
        if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
            if (parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
                long value = parser.getLongValue();
                if (value >= 0) {
                    return value;
                }
            } else if (parser.getBigIntegerValue().signum() >= 0
                    && parser.getBigIntegerValue().compareTo(MAX_COUNT) <= 0) {
                return parser.getBigIntegerValue().longValue();
            }
        }
        throw wrong(name, "a count");
    }

    private boolean flag(String name) throws MalformedMessageException {
        JsonToken value = parser.currentToken();
        if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE) {
            throw wrong(name, "true or false");
        }
        return value == JsonToken.VALUE_TRUE;
    }

    private Duration seconds(String name) throws IOException, MalformedMessageException {
        JsonToken token = parser.currentToken();
        double value = token != null && token.isNumeric() ? parser.getDoubleValue() : Double.NaN;
        if (!MessageFields.isAmount(value)) {
            throw wrong(name, "an amount from 0 to 1e9");
        }
        return MessageFields.toDuration(value);
    }

    /** Passes over a value of no interest; it is still checked to be well-formed. */
    private void skip() throws IOException {
        parser.skipChildren();
        if (parser.currentToken() == JsonToken.VALUE_STRING) {
            parser.getTextLength();
        }
    }

    private void requireEnd() throws MalformedMessageException {
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedMessageException("not CBOR");
        }
    }

    private static void requirePresent(boolean present, String name) throws MalformedMessageException {
        if (!present) {
            throw new MalformedMessageException(name + " is missing");
        }
    }

    private static MalformedMessageException wrong(String name, String expected) {
        return new MalformedMessageException(name + " is not " + expected);
    }
}
