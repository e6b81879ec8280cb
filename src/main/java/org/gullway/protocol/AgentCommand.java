package org.gullway.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/**
 * A command to the agent on a machine about one attempt of a task.
 *
 * @param grace time that a stopped attempt gets to save a checkpoint; zero for commands other than {@code STOP}
 */
public record AgentCommand(Kind kind, TaskId task, long attempt, Duration grace) {
    /** Starts the attempt, stops it, or removes an ended attempt from the heartbeats that follow. */
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

    private void appendTo(ArrayNode list) {
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
            node.put("slack_s", JobRequest.toSeconds(grace));
        }
    }

    /** Encodes the response to a heartbeat. */
    public static byte[] encodeResponse(long fencingToken, List<AgentCommand> commands) {
        ObjectNode node = Cbor.map().put("baton", fencingToken);
        ArrayNode list = node.putArray("calls");
        commands.forEach(command -> command.appendTo(list));
        return Cbor.encode(node);
    }

    /** Encodes commands that the controller sends to the agent in a request of its own, not in a heartbeat response. */
    public static byte[] encodeDirect(long fencingToken, long agentEpoch, List<AgentCommand> commands) {
        ObjectNode node = Cbor.map().put("baton", fencingToken).put("flight", agentEpoch);
        ArrayNode list = node.putArray("calls");
        commands.forEach(command -> command.appendTo(list));
        return Cbor.encode(node);
    }

    /** Encodes a redirect that names the controller to which the agent sends its next heartbeat. */
    public static byte[] encodeRedirect(String controller) {
        return Cbor.encode(Cbor.map().put("roost", controller));
    }

    /** Encodes a redirect that names no controller: the agent chooses another one itself. */
    public static byte[] encodeRedirectToAny() {
        return Cbor.encode(Cbor.map());
    }
}
