package org.gullway.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.gullway.coordination.agents.StartAuthorization;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.observability.InvariantMonitor;
import org.gullway.protocol.AgentCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Removes from a batch the start commands that are not allowed at the moment of sending. */
final class StartGate {
    private static final Logger LOG = LoggerFactory.getLogger(StartGate.class);

    private final StartAuthorization authorization;
    private final BooleanSupplier holdsValidLease;
    private final InvariantMonitor invariants;

    StartGate(StartAuthorization authorization, BooleanSupplier holdsValidLease, InvariantMonitor invariants) {
        this.authorization = authorization;
        this.holdsValidLease = holdsValidLease;
        this.invariants = invariants;
    }

    /** Returns the batch without the start commands that are not allowed now. */
    CommandBatch withoutDeniedStarts(CommandBatch batch) {
        if (!batch.hasStarts()) {
            return batch;
        }
        List<AgentCommand> allowed = new ArrayList<>();
        for (AgentCommand command : batch.commands()) {
            if (command.kind() != AgentCommand.Kind.START || isAllowed(batch, command)) {
                allowed.add(command);
            }
        }
        return batch.withCommands(allowed);
    }

    private boolean isAllowed(CommandBatch batch, AgentCommand start) {
        if (!holdsValidLease.getAsBoolean()) {
            // The lease can expire while a long scheduling cycle sends commands, so this is not reported as a violated
            // invariant.
            LOG.debug(
                    "start denied: this controller holds no valid lease machine={} task={} attempt={}",
                    batch.machine(),
                    start.task(),
                    start.attempt());
            return false;
        }
        Optional<String> denialReason = authorization.denialReason(batch, start);
        if (denialReason.isPresent()) {
            invariants.reportViolation(describe(batch, start, denialReason.get()));
            return false;
        }
        return true;
    }

    private static String describe(CommandBatch batch, AgentCommand start, String reason) {
        return "start denied: " + reason + " machine=" + batch.machine() + " task=" + start.task() + " attempt="
                + start.attempt() + " agent_epoch=" + batch.agentEpoch() + " fencing_token=" + batch.fencingToken();
    }
}
