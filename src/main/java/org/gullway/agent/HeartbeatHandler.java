package org.gullway.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.agents.HeartbeatResponse;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.model.ClusterState;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.ErrorMessage;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.HeartbeatResponseEncoder;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageLimits;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Responds to heartbeats of agents. A response with status 200 renews the agent's lease. It is sent only while
 * {@link LeaseRenewalPolicy} ensures that the agent ends the tasks of cancelled jobs in time, even if this controller
 * does not know of their cancellation yet.
 */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private final EventLoop loop;
    private final ClusterState clusterState;
    private final AgentReconciler agentReconciler;
    private final CancellationEnforcer cancellationEnforcer;
    private final LeaseRenewalGate leaseRenewalGate;
    private final Runnable requestCycle;
    private final HeartbeatResponseEncoder responseEncoder = new HeartbeatResponseEncoder();

    /** @param requestCycle requests a scheduling cycle; called after a heartbeat that may require one */
    public HeartbeatHandler(
            EventLoop loop,
            ClusterState clusterState,
            ReplicatedState replicatedState,
            AgentReconciler agentReconciler,
            CancellationEnforcer cancellationEnforcer,
            CancellationWatermark cancellationWatermark,
            LeaseRenewalPolicy leaseRenewal,
            Runnable requestCycle) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.agentReconciler = agentReconciler;
        this.cancellationEnforcer = cancellationEnforcer;
        this.leaseRenewalGate = new LeaseRenewalGate(replicatedState, cancellationWatermark, leaseRenewal);
        this.requestCycle = requestCycle;
    }

    /**
     * Called in every scheduling cycle in which this controller holds a valid membership lease. After the first call,
     * heartbeats can also be accepted while the membership lease is not valid.
     */
    public void onValidLease() {
        leaseRenewalGate.onValidLease();
    }

    /** Responds to one heartbeat. */
    public void handle(HttpExchange exchange) {
        Instant now = loop.now();
        boolean holdsValidLease = leaseRenewalGate.holdsValidLease();
        if (leaseRenewalGate.rejectsAllHeartbeats(holdsValidLease, now)) {
            // Rejected without parsing the body: after a restart of all controllers every agent retries each second,
            // and parsing these heartbeats would delay this controller in joining the cluster.
            exchange.reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = parse(exchange);
        } catch (MalformedMessageException e) {
            LOG.info("rejected a malformed heartbeat error={}", e.getMessage());
            exchange.respond(HttpStatus.BAD_REQUEST, ErrorMessage.encode(e.getMessage()));
            return;
        }
        if (holdsValidLease) {
            respond(exchange, agentReconciler.onHeartbeat(heartbeat, loop.now()));
        } else {
            respondWithoutValidLease(exchange, heartbeat);
        }
    }

    private Heartbeat parse(HttpExchange exchange) throws MalformedMessageException {
        if (exchange.body() == null) {
            throw new MalformedMessageException("the body is larger than allowed");
        }
        Heartbeat heartbeat = Heartbeat.parse(exchange.body(), agentReconciler::lastMessage);
        if (exchange.body().length > MessageLimits.MAX_MESSAGE_BYTES) {
            LOG.info(
                    "accepted a heartbeat that is larger than allowed machine={} bytes={} attempts={}",
                    heartbeat.machine(),
                    exchange.body().length,
                    heartbeat.tasks().size());
        }
        return heartbeat;
    }

    private void respondWithoutValidLease(HttpExchange exchange, Heartbeat heartbeat) {
        if (leaseRenewalGate.mayRenewDuringOutage(heartbeat, loop.now())) {
            List<AgentCommand> stops = cancellationEnforcer.stopCommands(heartbeat);
            exchange.respond(HttpStatus.OK, responseEncoder.encode(clusterState.fencingToken(), stops));
        } else {
            exchange.reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
        }
    }

    private void respond(HttpExchange exchange, HeartbeatResponse response) {
        if (response instanceof HeartbeatResponse.Accepted accepted) {
            exchange.respond(HttpStatus.OK, responseEncoder.encode(accepted.fencingToken(), accepted.commands()));
            if (accepted.mayRequireCycle()) {
                requestCycle.run();
            }
        } else if (response instanceof HeartbeatResponse.Redirect redirect) {
            exchange.respond(HttpStatus.MISDIRECTED, AgentCommand.encodeRedirect(redirect.controller()));
        } else if (response instanceof HeartbeatResponse.RedirectToAny) {
            exchange.respond(HttpStatus.MISDIRECTED, AgentCommand.encodeRedirectToAny());
        } else {
            exchange.reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
        }
    }
}
