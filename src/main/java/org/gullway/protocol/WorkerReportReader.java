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
 * Reads a worker's report from its CBOR body in one pass. Values that equal those of the worker's last message are
 * taken from there, so a report in which only counters have changed allocates little, however many tasks it lists.
 */
final class WorkerReportReader {
    private static final BigInteger LARGEST_COUNT = BigInteger.valueOf(Long.MAX_VALUE);

    private static final String TEXT = "a text of 1 to " + Fields.LONGEST_TEXT + " characters";

    private final JsonParser parser;
    private final Function<String, WorkerReport> lastMessages;
    /** The last message of the worker that the report names; null if there is none or the name is still to come. */
    private WorkerReport last;

    private String machine;
    private String address;
    private String type;
    private String zone;
    private Boolean spot;
    private long session = -1;
    private long sequence = -1;
    private long workerToken = -1;
    private Duration notice;
    private List<TaskReport> tasks = List.of();

    private WorkerReportReader(JsonParser parser, Function<String, WorkerReport> lastMessages) {
        this.parser = parser;
        this.lastMessages = lastMessages;
    }

    /** @param lastMessages the last message of the machine with a name, or null if none is known */
    static WorkerReport read(byte[] body, Function<String, WorkerReport> lastMessages) throws MalformedException {
        try (JsonParser parser = Cbor.parser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedException("not a map");
            }
            WorkerReport report = new WorkerReportReader(parser, lastMessages).readMap();
            if (parser.nextToken() != null) {
                throw new MalformedException("bytes after the map");
            }
            return report;
        } catch (IOException e) {
            throw new MalformedException("not CBOR");
        }
    }

    private WorkerReport readMap() throws IOException, MalformedException {
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
                case "flight" -> session = count(name);
                case "tally" -> sequence = count(name);
                case "baton" -> workerToken = count(name);
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
        requirePresent(session >= 0, "flight");
        requirePresent(sequence >= 0, "tally");
        requirePresent(workerToken >= 0, "baton");
        return new WorkerReport(machine, address, type, zone, spot, session, sequence, workerToken, notice, tasks);
    }

    /** The list of the last message itself if nothing in it has changed. */
    private List<TaskReport> readTasks() throws IOException, MalformedException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw wrong("legs", "a list");
        }
        List<TaskReport> before = last == null ? List.of() : last.tasks();
        List<TaskReport> changed = null;
        int read = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw wrong("legs", "a list of maps");
            }
            TaskReport known = read < before.size() ? before.get(read) : null;
            TaskReport task = readTask(known);
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

    /** The known report of the task at the same place of the last message, if it is the same. */
    private TaskReport readTask(TaskReport known) throws IOException, MalformedException {
        TaskId task = null;
        long attempt = -1;
        TaskReport.Phase phase = null;
        TaskReport.Cause cause = null;
        boolean causeIsText = true;
        boolean saved = false;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "leg" -> task = taskId(known == null ? null : known.task());
                case "launch" -> attempt = count("legs[].launch");
                case "tide" -> phase = TaskReport.Phase.of(text("legs[].tide", "running"));
                case "cause" -> {
                    // Only a task that has ended needs one.
                    causeIsText = isText();
                    if (causeIsText) {
                        cause = TaskReport.Cause.of(text("legs[].cause", "done"));
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
        if (phase != TaskReport.Phase.ENDED) {
            cause = null;
        } else if (!causeIsText) {
            throw wrong("legs[].cause", TEXT);
        } else if (cause == null) {
            cause = TaskReport.Cause.OTHER;
        }
        if (known != null
                && known.task() == task
                && known.attempt() == attempt
                && known.phase() == phase
                && known.cause() == cause
                && known.saved() == saved) {
            return known;
        }
        return new TaskReport(task, attempt, phase, cause, saved);
    }

    private TaskId taskId(TaskId known) throws IOException, MalformedException {
        requireText("legs[].leg");
        if (known != null
                && known.isWrittenAs(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength())) {
            return known;
        }
        return TaskId.parse(parser.getText());
    }

    /** The expected text itself if the value equals it. */
    private String text(String name, String expected) throws IOException, MalformedException {
        requireText(name);
        return expected != null && equalsText(expected) ? expected : parser.getText();
    }

    private void requireText(String name) throws IOException, MalformedException {
        if (!isText()) {
            throw wrong(name, TEXT);
        }
    }

    private boolean isText() throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING
                && parser.getTextLength() > 0
                && parser.getTextLength() <= Fields.LONGEST_TEXT;
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

    private long count(String name) throws IOException, MalformedException {
        if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
            if (parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
                long value = parser.getLongValue();
                if (value >= 0) {
                    return value;
                }
            } else if (parser.getBigIntegerValue().signum() >= 0
                    && parser.getBigIntegerValue().compareTo(LARGEST_COUNT) <= 0) {
                return parser.getBigIntegerValue().longValue();
            }
        }
        throw wrong(name, "a count");
    }

    private boolean flag(String name) throws MalformedException {
        JsonToken value = parser.currentToken();
        if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE) {
            throw wrong(name, "true or false");
        }
        return value == JsonToken.VALUE_TRUE;
    }

    private Duration seconds(String name) throws IOException, MalformedException {
        JsonToken token = parser.currentToken();
        double value = token != null && token.isNumeric() ? parser.getDoubleValue() : Double.NaN;
        if (!Fields.isAmount(value)) {
            throw wrong(name, "an amount from 0 to 1e9");
        }
        return Fields.toDuration(value);
    }

    /** Passes over a value of no interest; it is still checked to be well-formed. */
    private void skip() throws IOException {
        parser.skipChildren();
        if (parser.currentToken() == JsonToken.VALUE_STRING) {
            parser.getTextLength();
        }
    }

    private void requireEnd() throws MalformedException {
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedException("not CBOR");
        }
    }

    private static void requirePresent(boolean present, String name) throws MalformedException {
        if (!present) {
            throw new MalformedException(name + " is missing");
        }
    }

    private static MalformedException wrong(String name, String expected) {
        return new MalformedException(name + " is not " + expected);
    }
}
