package org.gullway.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** A command to the agent on a machine about one attempt of a task. */
public record AgentCommand(Kind kind, TaskId task, long attempt, Duration grace) {
    /** What the agent is to do: start the attempt, stop it, or forget an attempt that has ended. */
    public enum Kind {
        START,
        STOP,
        FORGET
    }

    public static AgentCommand start(TaskId task, long attempt) {
        return new AgentCommand(Kind.START, task, attempt, Duration.ZERO);
    }

    public static AgentCommand stop(TaskId task, long attempt, Duration grace) {
        return new AgentCommand(Kind.STOP, task, attempt, grace);
    }

    public static AgentCommand forget(TaskId task, long attempt) {
        return new AgentCommand(Kind.FORGET, task, attempt, Duration.ZERO);
    }

    private void writeTo(ArrayNode list) {
        ObjectNode node = list.addObject();
        node.put(
                "call",
                switch (kind) {
                    case START -> "start";
                    case STOP -> "halt";
                    case FORGET -> "forget";
                });
        node.put("leg", task.toString()).put("launch", attempt);
        if (kind == Kind.STOP) {
            node.put("slack_s", JobRequest.seconds(grace));
        }
    }

    /** Encodes the response to a heartbeat. */
    public static byte[] encodeResponse(long fencingToken, List<AgentCommand> commands) {
        ObjectNode node = Cbor.map().put("baton", fencingToken);
        ArrayNode list = node.putArray("calls");
        commands.forEach(c -> c.writeTo(list));
        return Cbor.encode(node);
    }

    /** Encodes commands that are sent to the agent directly. */
    public static byte[] encodeDirect(long fencingToken, long agentEpoch, List<AgentCommand> commands) {
        ObjectNode node = Cbor.map().put("baton", fencingToken).put("flight", agentEpoch);
        ArrayNode list = node.putArray("calls");
        commands.forEach(c -> c.writeTo(list));
        return Cbor.encode(node);
    }

    /** Encodes a redirect of the agent to another controller, which it tries next. */
    public static byte[] encodeRedirect(String controller) {
        return Cbor.encode(Cbor.map().put("roost", controller));
    }

    /** Encodes a redirect of the agent to any other controller. */
    public static byte[] encodeRedirectToAny() {
        return Cbor.encode(Cbor.map());
    }
}
