package org.gullway.coordination.agents;

import java.util.List;
import org.gullway.protocol.AgentCommand;

/** How a heartbeat is answered. */
public sealed interface HeartbeatResponse {
    /**
     * The agent's lease is renewed.
     *
     * @param changed whether the heartbeat may give this controller something to do
     */
    record Accepted(long fencingToken, List<AgentCommand> commands, boolean changed) implements HeartbeatResponse {}

    /** The agent should send its heartbeats to this controller. */
    record Redirect(String controller) implements HeartbeatResponse {}

    /** No controller is known to command the machine: the agent should try the others. */
    record RedirectToAny() implements HeartbeatResponse {}

    /** This controller's cluster state is older than what the agent knows. */
    record NotReady() implements HeartbeatResponse {}
}
