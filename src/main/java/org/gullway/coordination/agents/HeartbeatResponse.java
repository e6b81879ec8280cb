package org.gullway.coordination.agents;

import java.util.List;
import org.gullway.protocol.AgentCommand;

/** How a report is answered. */
public sealed interface HeartbeatResponse {
    /** @param changed whether the report may give this controller something to do */
    record Accepted(long fencingToken, List<AgentCommand> commands, boolean changed) implements HeartbeatResponse {}

    /** The worker should report to another controller; null leaves the choice to it. */
    record Redirect(String controller) implements HeartbeatResponse {}

    /** This controller's knowledge is behind the worker's. */
    record NotReady() implements HeartbeatResponse {}
}
