package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * A job as its user submits it.
 *
 * @param jobClass the class of the job, which service-level objectives refer to
 * @param tasks the number of tasks
 * @param cpus the number of CPUs that each task uses; GPUs and memory are also per task
 * @param machineTypes the machine types on which the tasks may run; null if all are allowed
 * @param zone the only zone in which the tasks may run; null if all are allowed
 * @param singleZone whether all tasks must run in the same zone
 * @param spreadAcrossZones whether at most half of the tasks may run in one zone
 * @param estimatedRunTime zero for a service that states none
 * @param checkpointInterval time between two checkpoints of a task; zero if the tasks save no checkpoints
 * @param checkpointTime how long a task takes to save a checkpoint
 * @param deadline time from the submission to the deadline of the job; null if it has none
 */
public record JobRequest(
        String id,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spreadAcrossZones,
        boolean spotAllowed,
        Duration estimatedRunTime,
        Duration checkpointInterval,
        Duration checkpointTime,
        Duration deadline) {

    /** How the tasks of a job depend on each other. */
    public enum Shape {
        /** Independent tasks, each of which runs to completion. */
        ARRAY,
        /** Tasks that run only if all of them run at the same time. */
        GANG,
        /** Tasks that run until the job is cancelled. */
        SERVICE;

        static Shape of(String wireName) throws MalformedMessageException {
            return switch (wireName) {
                case "array" -> ARRAY;
                case "gang" -> GANG;
                case "service" -> SERVICE;
                default -> throw new MalformedMessageException("shape is none of array, gang, service");
            };
        }

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    public static final int MAX_TASKS = 100_000;
    /** Maximum number of digits in a job's id, as in {@link #ID}. */
    static final int MAX_ID_DIGITS = 18;

    private static final Pattern ID = Pattern.compile("run-[0-9]{1,18}");

    /** No amount is longer as text. */
    private static final String LONGEST_AMOUNT = "1.2345678901234567E-308";

    /** All fields with their longest values, except texts other than the id. */
    private static final String LONGEST_FIELDS = "{\"name_id\":\"run-" + "9".repeat(MAX_ID_DIGITS)
            + "\",\"herd\":,\"crew\":,\"shape\":\"service\",\"rank\":\"normal\",\"legs\":" + MAX_TASKS
            + ",\"cpus\":" + LONGEST_AMOUNT + ",\"cards\":" + LONGEST_AMOUNT + ",\"mem_gb\":" + LONGEST_AMOUNT
            + ",\"kit\":,\"image_gb\":" + LONGEST_AMOUNT
            + ",\"breeds\":[],\"shore\":,\"same_place\":false,\"spread\":false,\"driftwood\":false,\"reckon_s\":"
            + LONGEST_AMOUNT + ",\"waypoint_s\":" + LONGEST_AMOUNT + ",\"stow_s\":" + LONGEST_AMOUNT
            + ",\"landfall_s\":" + LONGEST_AMOUNT + "}";

    /** An upper bound for the size of a request as JSON without its texts, except the id. */
    public static final int MAX_JSON_BYTES_WITHOUT_TEXTS = LONGEST_FIELDS.length();

    public static boolean isValidId(String text) {
        return ID.matcher(text).matches();
    }

    /**
     * Decodes a submission.
     *
     * @throws MalformedMessageException if a field is missing or invalid; its message names the first such field
     */
    public static JobRequest parse(JsonNode map) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(map);
        String id = fields.text("name_id");
        if (!isValidId(id)) {
            throw new MalformedMessageException("name_id is not 'run-' followed by 1 to 18 digits, such as run-000412");
        }
        Shape shape = Shape.of(fields.text("shape"));
        int tasks = fields.countUpTo("legs", MAX_TASKS);
        if (tasks < 1) {
            throw new MalformedMessageException("legs must be at least 1, got " + tasks);
        }
        List<String> types = fields.textsOrNull("breeds");
        return new JobRequest(
                id,
                fields.text("herd"),
                fields.text("crew"),
                shape,
                Priority.of(fields.text("rank")),
                tasks,
                fields.positive("cpus"),
                fields.amount("cards"),
                fields.amount("mem_gb"),
                fields.text("kit"),
                fields.amount("image_gb"),
                types,
                fields.textOrNull("shore"),
                fields.flag("same_place"),
                fields.flag("spread"),
                fields.flag("driftwood"),
                shape == Shape.SERVICE && !fields.has("reckon_s") ? Duration.ZERO : fields.seconds("reckon_s"),
                fields.seconds("waypoint_s"),
                fields.seconds("stow_s"),
                fields.secondsOrNull("landfall_s"));
    }

    /** Returns a copy of this request that allows the given machine types. */
    public JobRequest withMachineTypes(List<String> types) {
        return new JobRequest(
                id,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                types,
                zone,
                singleZone,
                spreadAcrossZones,
                spotAllowed,
                estimatedRunTime,
                checkpointInterval,
                checkpointTime,
                deadline);
    }

    /** An upper bound for the size of this request as JSON. */
    public int maxJsonBytes() {
        int bytes = LONGEST_FIELDS.length();
        bytes += JsonSize.ofText(jobClass) + JsonSize.ofText(team) + JsonSize.ofText(image);
        bytes += zone == null ? 0 : JsonSize.ofText(zone);
        if (machineTypes != null) {
            for (String type : machineTypes) {
                bytes += JsonSize.ofText(type) + 1;
            }
        }
        return bytes;
    }

    /** Encodes this request as the map that {@link #parse} decodes. */
    public ObjectNode toNode() {
        ObjectNode node = Cbor.map();
        node.put("name_id", id)
                .put("herd", jobClass)
                .put("crew", team)
                .put("shape", shape.wireName())
                .put("rank", priority.wireName())
                .put("legs", tasks)
                .put("cpus", cpus)
                .put("cards", gpus)
                .put("mem_gb", memoryGb)
                .put("kit", image)
                .put("image_gb", imageGb);
        if (machineTypes != null) {
            ArrayNode list = node.putArray("breeds");
            machineTypes.forEach(list::add);
        }
        if (zone != null) {
            node.put("shore", zone);
        }
        node.put("same_place", singleZone)
                .put("spread", spreadAcrossZones)
                .put("driftwood", spotAllowed)
                .put("reckon_s", toSeconds(estimatedRunTime))
                .put("waypoint_s", toSeconds(checkpointInterval))
                .put("stow_s", toSeconds(checkpointTime));
        if (deadline != null) {
            node.put("landfall_s", toSeconds(deadline));
        }
        return node;
    }

    /** Whether tasks save checkpoints, so that a stopped task keeps its progress. */
    public boolean hasCheckpoints() {
        return !checkpointInterval.isZero();
    }

    static double toSeconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
