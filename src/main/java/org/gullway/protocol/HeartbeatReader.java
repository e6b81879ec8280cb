package org.gullway.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Decodes a heartbeat from CBOR in one pass. Values that equal those of the agent's last heartbeat are reused from it,
 * so a heartbeat in which only counters have changed allocates little, however many tasks it lists. This requires that
 * the machine's name precedes those values in the encoding; values before it are decoded without reuse.
 */
final class HeartbeatReader {
    private static final String EXPECTED_TEXT = "a text of 1 to " + MessageFields.MAX_TEXT_CHARACTERS + " characters";

    private final JsonParser parser;
    private final Function<String, Heartbeat> lastHeartbeats;
    /** The last heartbeat of the same machine; null if none is known or the machine's name has not been read yet. */
    private Heartbeat lastHeartbeat;

    private String machine;
    private String address;
    private String type;
    private String zone;
    private Boolean spot;
    private Count agentEpoch;
    private Count sequence;
    private Count fencingToken;
    private Duration spotNotice;
    private List<TaskStatus> tasks = List.of();

    private HeartbeatReader(JsonParser parser, Function<String, Heartbeat> lastHeartbeats) {
        this.parser = parser;
        this.lastHeartbeats = lastHeartbeats;
    }

    /** @param lastHeartbeats returns the last heartbeat of the machine with the given name, or null if none is known */
    static Heartbeat read(byte[] body, Function<String, Heartbeat> lastHeartbeats) throws MalformedMessageException {
        try (JsonParser parser = Cbor.parser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("not a CBOR map");
            }
            Heartbeat heartbeat = new HeartbeatReader(parser, lastHeartbeats).readMap();
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("unexpected bytes after the CBOR map");
            }
            return heartbeat;
        } catch (IOException e) {
            throw new MalformedMessageException("not valid CBOR", e);
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
                    lastHeartbeat = lastHeartbeats.apply(machine);
                    machine = lastHeartbeat == null ? machine : lastHeartbeat.machine();
                }
                case "endpoint" -> address = text(name, lastHeartbeat == null ? null : lastHeartbeat.address());
                case "breed" -> type = text(name, lastHeartbeat == null ? null : lastHeartbeat.type());
                case "shore" -> zone = text(name, lastHeartbeat == null ? null : lastHeartbeat.zone());
                case "driftwood" -> spot = flag(name);
                case "flight" -> agentEpoch = count(name);
                case "tally" -> sequence = count(name);
                case "baton" -> fencingToken = count(name);
                case "warning_s" -> spotNotice = seconds(name);
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
        requirePresent(agentEpoch != null, "flight");
        requirePresent(sequence != null, "tally");
        requirePresent(fencingToken != null, "baton");
        return new Heartbeat(machine, address, type, zone, spot, agentEpoch, sequence, fencingToken, spotNotice, tasks);
    }

    /** Reads the list of tasks. Returns the list of the last heartbeat itself if no task has changed. */
    @SuppressWarnings("ReferenceEquality")
    private List<TaskStatus> readTasks() throws IOException, MalformedMessageException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw invalid("legs", "a list");
        }
        List<TaskStatus> lastTasks = lastHeartbeat == null ? List.of() : lastHeartbeat.tasks();
        List<TaskStatus> newTasks = null;
        int count = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw invalid("legs", "a list of maps");
            }
            TaskStatus lastStatus = count < lastTasks.size() ? lastTasks.get(count) : null;
            TaskStatus task = readTask(lastStatus);
            if (newTasks == null && task != lastStatus) {
                newTasks = new ArrayList<>(lastTasks.subList(0, count));
            }
            if (newTasks != null) {
                newTasks.add(task);
            }
            count++;
        }
        if (newTasks != null) {
            return List.copyOf(newTasks);
        }
        return count == lastTasks.size() ? lastTasks : List.copyOf(lastTasks.subList(0, count));
    }

    /**
     * Reads the status of one task. Returns {@code lastStatus} itself if it is equal.
     *
     * @param lastStatus the task at the same position in the last heartbeat; null if there is none
     */
    @SuppressWarnings("ReferenceEquality")
    private TaskStatus readTask(TaskStatus lastStatus) throws IOException, MalformedMessageException {
        TaskId task = null;
        Count attempt = null;
        TaskStatus.Phase phase = null;
        TaskStatus.Cause cause = null;
        boolean causeIsValid = true;
        boolean checkpointed = false;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "leg" -> task = taskId(lastStatus == null ? null : lastStatus.task());
                case "launch" -> attempt = count("legs[].launch");
                case "tide" -> phase = TaskStatus.Phase.of(text("legs[].tide", "running"));
                case "cause" -> {
                    // An invalid cause is an error only if the attempt has ended; causeOf checks that.
                    causeIsValid = isValidText();
                    if (causeIsValid) {
                        cause = TaskStatus.Cause.of(text("legs[].cause", "done"));
                    } else {
                        skip();
                    }
                }
                case "stored" -> checkpointed = flag("legs[].stored");
                default -> skip();
            }
        }
        requireEnd();
        requirePresent(task != null, "legs[].leg");
        requirePresent(attempt != null, "legs[].launch");
        requirePresent(phase != null, "legs[].tide");
        cause = causeOf(phase, cause, causeIsValid);
        if (lastStatus != null
                && lastStatus.task() == task
                && lastStatus.attempt().equals(attempt)
                && lastStatus.phase() == phase
                && lastStatus.cause() == cause
                && lastStatus.checkpointed() == checkpointed) {
            return lastStatus;
        }
        return new TaskStatus(task, attempt, phase, cause, checkpointed);
    }

    /** Returns null for a task that has not ended, and {@code OTHER} for an ended task without a stated cause. */
    private static TaskStatus.Cause causeOf(TaskStatus.Phase phase, TaskStatus.Cause cause, boolean causeIsValid)
            throws MalformedMessageException {
        if (phase != TaskStatus.Phase.ENDED) {
            return null;
        }
        if (!causeIsValid) {
            throw invalid("legs[].cause", EXPECTED_TEXT);
        }
        return cause == null ? TaskStatus.Cause.OTHER : cause;
    }

    private TaskId taskId(TaskId lastId) throws IOException, MalformedMessageException {
        requireText("legs[].leg");
        if (lastId != null
                && lastId.matches(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength())) {
            return lastId;
        }
        return TaskId.parse(parser.getText());
    }

    /** Reads a text. Returns {@code candidate} itself if the text equals it; the candidate may be null. */
    private String text(String name, String candidate) throws IOException, MalformedMessageException {
        requireText(name);
        return candidate != null && equalsText(candidate) ? candidate : parser.getText();
    }

    private void requireText(String name) throws IOException, MalformedMessageException {
        if (!isValidText()) {
            throw invalid(name, EXPECTED_TEXT);
        }
    }

    private boolean isValidText() throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING
                && parser.getTextLength() > 0
                && parser.getTextLength() <= MessageFields.MAX_TEXT_CHARACTERS;
    }

    private boolean equalsText(String candidate) throws IOException {
        int length = parser.getTextLength();
        if (candidate.length() != length) {
            return false;
        }
        char[] characters = parser.getTextCharacters();
        int offset = parser.getTextOffset();
        for (int i = 0; i < length; i++) {
            if (characters[offset + i] != candidate.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private Count count(String name) throws IOException, MalformedMessageException {
        Count count = Count.of(parser);
        if (count == null) {
            throw invalid(name, Count.EXPECTED);
        }
        return count;
    }

    private boolean flag(String name) throws MalformedMessageException {
        JsonToken value = parser.currentToken();
        if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE) {
            throw invalid(name, "true or false");
        }
        return value == JsonToken.VALUE_TRUE;
    }

    private Duration seconds(String name) throws IOException, MalformedMessageException {
        JsonToken token = parser.currentToken();
        double value = token != null && token.isNumeric() ? parser.getDoubleValue() : Double.NaN;
        if (!MessageFields.isAmount(value)) {
            throw invalid(name, "an amount from 0 to 1e9");
        }
        return MessageFields.toDuration(value);
    }

    /** Skips an unused value, but still checks that it is well-formed. */
    private void skip() throws IOException {
        parser.skipChildren();
        // Jackson decodes texts lazily: getTextLength decodes this one, and fails if it is malformed.
        if (parser.currentToken() == JsonToken.VALUE_STRING) {
            parser.getTextLength();
        }
    }

    private void requireEnd() throws MalformedMessageException {
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedMessageException("not valid CBOR: a map has no end");
        }
    }

    private static void requirePresent(boolean present, String name) throws MalformedMessageException {
        if (!present) {
            throw new MalformedMessageException(name + " is missing");
        }
    }

    private static MalformedMessageException invalid(String name, String expected) {
        return new MalformedMessageException(name + " is not " + expected);
    }
}
