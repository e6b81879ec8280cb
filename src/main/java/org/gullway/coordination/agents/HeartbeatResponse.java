package org.gullway.coordination.agents;

import java.util.List;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;

/** The response to a heartbeat. */
public sealed interface HeartbeatResponse {
    /**
     * The heartbeat is accepted, and the agent's lease is renewed.
     *
     * @param mayRequireCycle whether the heartbeat may require a scheduling cycle
     */
    record Accepted(Count fencingToken, List<AgentCommand> commands, boolean mayRequireCycle)
            implements HeartbeatResponse {}

    /** The agent is told to send its heartbeats to the named controller. */
    record Redirect(String controller) implements HeartbeatResponse {}

    /** No controller is known to command the machine, and the agent is told to try the other controllers. */
    record RedirectToAny() implements HeartbeatResponse {}

    /** The heartbeat is rejected: the agent knows a higher fencing token than this controller's cluster state. */
    record NotReady() implements HeartbeatResponse {}
}
