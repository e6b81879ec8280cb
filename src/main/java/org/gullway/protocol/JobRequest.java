package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;

/** A job as its user submits it. */
public record JobRequest(
        String id,
        String jobClass,
        String team,
        Rank rank,
        int tasks,
        double cpus,
        double cards,
        double memoryGb,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        Duration estimate,
        Duration checkpoint,
        Duration save,
        Duration deadline) {

    public static final int MOST_TASKS = 100_000;
    private static final Pattern ID = Pattern.compile("run-[0-9]{1,18}");

    public static boolean isId(String text) {
        return ID.matcher(text).matches();
    }

    public static JobRequest parse(JsonNode map) throws MalformedException {
        Fields fields = Fields.of(map);
        String id = fields.text("name_id");
        if (!isId(id)) {
            throw new MalformedException("name_id is not of the form run-000412");
        }
        if (!"array".equals(fields.text("shape"))) {
            throw new MalformedException("shape is not array");
        }
        int tasks = fields.countUpTo("legs", MOST_TASKS);
        if (tasks < 1) {
            throw new MalformedException("legs is below 1");
        }
        List<String> types = fields.textsOrNull("breeds");
        return new JobRequest(id, fields.text("herd"), fields.text("crew"), Rank.of(fields.text("rank")), tasks,
                fields.positive("cpus"), fields.amount("cards"), fields.amount("mem_gb"),
                fields.text("kit"), fields.amount("image_gb"),
                types, fields.textOrNull("shore"),
                fields.flag("same_place"), fields.flag("spread"), fields.flag("driftwood"),
                fields.seconds("reckon_s"), fields.seconds("waypoint_s"), fields.seconds("stow_s"),
                fields.secondsOrNull("landfall_s"));
    }

    public ObjectNode toNode() {
        ObjectNode node = Cbor.map();
        node.put("name_id", id).put("herd", jobClass).put("crew", team).put("shape", "array")
                .put("rank", rank.wire()).put("legs", tasks).put("cpus", cpus).put("cards", cards)
                .put("mem_gb", memoryGb).put("kit", image).put("image_gb", imageGb);
        if (types != null) {
            ArrayNode list = node.putArray("breeds");
            types.forEach(list::add);
        }
        if (zone != null) {
            node.put("shore", zone);
        }
        node.put("same_place", oneZone).put("spread", spread).put("driftwood", spot)
                .put("reckon_s", seconds(estimate)).put("waypoint_s", seconds(checkpoint))
                .put("stow_s", seconds(save));
        if (deadline != null) {
            node.put("landfall_s", seconds(deadline));
        }
        return node;
    }

    /** Whether stopping a task keeps its work. */
    public boolean saves() {
        return !checkpoint.isZero();
    }

    static double seconds(Duration span) {
        return span.toNanos() / 1e9;
    }
}
