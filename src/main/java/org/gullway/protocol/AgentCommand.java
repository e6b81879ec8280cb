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
    private static final int MAX_HEADER_BYTES =
            ("{\"baton\":" + Long.MAX_VALUE + ",\"flight\":" + Long.MAX_VALUE + ",\"calls\":[]}").length();

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

    /**
     * Returns the first of the commands, as many as fit into one request to an agent or into one response to a
     * heartbeat. The caller sends the others with the next message.
     */
    public static List<AgentCommand> firstThatFit(List<AgentCommand> commands) {
        if (commands.size() <= MessageLimits.MAX_LISTED_ATTEMPTS) {
            return commands;
        }
        int bytes = MAX_HEADER_BYTES;
        for (int i = 0; i < commands.size(); i++) {
            bytes += commands.get(i).jsonBytes();
            if (bytes > MessageLimits.MAX_MESSAGE_BYTES) {
                return commands.subList(0, i);
            }
        }
        return commands;
    }

    /** Returns the size of this command in a JSON list, including the separator. */
    private int jsonBytes() {
        int bytes = ("{\"call\":\"" + wireName() + "\",\"leg\":\"\",\"launch\":},").length();
        bytes += task.job().length() + 1 + JsonSize.ofInteger(task.index()) + JsonSize.ofInteger(attempt);
        if (kind == Kind.STOP) {
            bytes += ",\"slack_s\":".length()
                    + Double.toString(JobRequest.toSeconds(grace)).length();
        }
        return bytes;
    }

    private String wireName() {
        return switch (kind) {
            case START -> "start";
            case STOP -> "halt";
            case FORGET -> "forget";
        };
    }

    private void appendTo(ArrayNode list) {
        ObjectNode node = list.addObject();
        node.put("call", wireName());
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
