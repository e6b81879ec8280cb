package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.IntegerRanges;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/**
 * Stored encoding of a job that has not ended. The indexes of completed tasks are stored as ranges: an array of the
 * first and the last index of each range.
 */
final class JobFormat implements RecordFormat<JobRecord> {
    /**
     * Positions in an entry of the {@code live} list: the machine, its agent epoch and the time of the placements. From
     * {@link #FIRST_TASK} on, tasks and their attempts alternate.
     */
    private static final int MACHINE = 0;

    private static final int AGENT_EPOCH = 1;
    private static final int MILLIS_SINCE_SUBMISSION = 2;
    private static final int FIRST_TASK = 3;

    @Override
    public ObjectNode encode(JobRecord job) {
        ObjectNode node = Cbor.map();
        node.set("request", job.request().toNode());
        if (job.owner() != null) {
            node.put("owner", job.owner());
        }
        if (job.isCancelled()) {
            node.put("cancelled", job.cancelledAt().toEpochMilli());
        }
        node.put("submitted", job.submittedAt().toEpochMilli());
        node.set("attempts", job.attemptCount().toNode());
        node.put("errors", job.consecutiveErrors());
        ArrayNode completed = node.putArray("done");
        for (int bound : job.completedTasks().bounds()) {
            completed.add(bound);
        }
        encodePlacements(job, node);
        return node;
    }

    /**
     * Writes one entry for all placements on the same machine, in the same agent epoch and at the same time. The time
     * is stored in milliseconds since the submission of the job, which keeps the number short.
     */
    private static void encodePlacements(JobRecord job, ObjectNode node) {
        Map<List<Object>, ArrayNode> byMachineAndTime = new HashMap<>();
        ArrayNode live = node.putArray("live");
        ArrayNode stopping = null;
        for (Placement placement : job.livePlacements()) {
            long sinceSubmission =
                    placement.placedAt().toEpochMilli() - job.submittedAt().toEpochMilli();
            byMachineAndTime
                    .computeIfAbsent(
                            List.of(placement.machine(), placement.agentEpoch(), sinceSubmission),
                            key -> live.addArray()
                                    .add(placement.machine())
                                    .add(placement.agentEpoch().toNode())
                                    .add(sinceSubmission))
                    .add(placement.task())
                    .add(placement.attempt().toNode());
            if (placement.stopping()) {
                stopping = stopping == null ? node.putArray("stopping") : stopping;
                stopping.add(placement.task());
            }
        }
    }

    @Override
    public JobRecord decode(String name, JsonNode value) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(value);
        Instant submittedAt = decodeTime(fields, "submitted");
        List<Placement> live = decodePlacements(value, submittedAt);
        IntegerRanges completed = decodeRanges("done", value.path("done"));
        return new JobRecord(
                JobRequest.parse(value.path("request")),
                fields.textOrNull("owner"),
                submittedAt,
                fields.has("cancelled") ? decodeTime(fields, "cancelled") : null,
                completed,
                fields.count("attempts"),
                fields.countUpTo("errors", Integer.MAX_VALUE),
                live);
    }

    private static Instant decodeTime(MessageFields fields, String name) throws MalformedMessageException {
        return Instant.ofEpochMilli(fields.longUpTo(name, Long.MAX_VALUE));
    }

    private static List<Placement> decodePlacements(JsonNode value, Instant submittedAt)
            throws MalformedMessageException {
        Set<Integer> stopping = new HashSet<>();
        value.path("stopping").forEach(task -> stopping.add(task.asInt()));
        List<Placement> live = new ArrayList<>();
        for (JsonNode entry : value.path("live")) {
            String machine = MessageFields.textAt(entry, MACHINE, "live[]");
            Count agentEpoch = MessageFields.countAt(entry, AGENT_EPOCH, "live[]");
            Instant placedAt =
                    submittedAt.plusMillis(entry.path(MILLIS_SINCE_SUBMISSION).asLong());
            for (int i = FIRST_TASK; i + 1 < entry.size(); i += 2) {
                int task = entry.get(i).asInt();
                Count attempt = MessageFields.countAt(entry, i + 1, "live[]");
                live.add(new Placement(task, attempt, machine, agentEpoch, stopping.contains(task), placedAt));
            }
        }
        return List.copyOf(live);
    }

    private static IntegerRanges decodeRanges(String field, JsonNode value) throws MalformedMessageException {
        int[] bounds = new int[value.size()];
        for (int i = 0; i < bounds.length; i++) {
            bounds[i] = value.get(i).asInt();
        }
        try {
            return IntegerRanges.of(bounds);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(field + ": " + e.getMessage());
        }
    }
}
