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
public record AgentCommand(Kind kind, TaskId task, Count attempt, Duration grace) {
    private static final int MAX_HEADER_BYTES =
            ("{\"baton\":" + Count.MAX + ",\"flight\":" + Count.MAX + ",\"calls\":[]}").length();

    /** Starts the attempt, stops it, or removes an ended attempt from the heartbeats that follow. */
    public enum Kind {
        START,
        STOP,
        FORGET
    }

    public static AgentCommand start(TaskId task, Count attempt) {
        return new AgentCommand(Kind.START, task, attempt, Duration.ZERO);
    }

    public static AgentCommand stop(TaskId task, Count attempt, Duration grace) {
        return new AgentCommand(Kind.STOP, task, attempt, grace);
    }

    public static AgentCommand forget(TaskId task, Count attempt) {
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
        bytes += task.job().length() + 1 + JsonSize.ofInteger(task.index()) + JsonSize.ofCount(attempt);
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
        node.put("leg", task.toString()).set("launch", attempt.toNode());
        if (kind == Kind.STOP) {
            node.put("slack_s", JobRequest.toSeconds(grace));
        }
    }

    /** Encodes the response to a heartbeat. */
    public static byte[] encodeResponse(Count fencingToken, List<AgentCommand> commands) {
        ObjectNode node = Cbor.map();
        node.set("baton", fencingToken.toNode());
        ArrayNode list = node.putArray("calls");
        commands.forEach(command -> command.appendTo(list));
        return Cbor.encode(node);
    }

    /** Encodes commands that the controller sends to the agent in a request of its own, not in a heartbeat response. */
    public static byte[] encodeDirect(Count fencingToken, Count agentEpoch, List<AgentCommand> commands) {
        ObjectNode node = Cbor.map();
        node.set("baton", fencingToken.toNode());
        node.set("flight", agentEpoch.toNode());
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
