package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A worker's account of itself, from a report or from the answer to a direct command. */
public record WorkerReport(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long sequence,
        long token,
        Duration notice,
        List<TaskReport> tasks) {

    /** Reads a report, or the answer to a command, which has the same form. */
    public static WorkerReport parse(JsonNode map) throws MalformedException {
        Fields fields = Fields.of(map);
        List<TaskReport> tasks = new ArrayList<>();
        for (Fields leg : fields.list("legs")) {
            TaskReport.Phase phase = TaskReport.Phase.of(leg.text("tide"));
            TaskReport.Cause cause = phase != TaskReport.Phase.ENDED
                    ? null
                    : leg.has("cause") ? TaskReport.Cause.of(leg.text("cause")) : TaskReport.Cause.OTHER;
            tasks.add(new TaskReport(
                    TaskId.parse(leg.text("leg")),
                    leg.count("launch"),
                    phase,
                    cause,
                    leg.has("stored") && leg.flag("stored")));
        }
        return new WorkerReport(
                fields.text("perch"),
                fields.text("endpoint"),
                fields.text("breed"),
                fields.text("shore"),
                fields.flag("driftwood"),
                fields.count("flight"),
                fields.count("tally"),
                fields.count("baton"),
                fields.secondsOrNull("warning_s"),
                List.copyOf(tasks));
    }

    /** Newer in the order of the worker's own messages. */
    public boolean newerThan(long otherSession, long otherSequence) {
        return session > otherSession || session == otherSession && sequence > otherSequence;
    }
}
