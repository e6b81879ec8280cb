package org.gullway.worker;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.agents.HeartbeatResponse;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.model.ClusterState;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.HeartbeatResponseEncoder;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the reports of workers. An answer with 200 renews the worker's lease. */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final AgentReconciler agentReconciler;
    private final CancellationEnforcer cancellationEnforcer;
    private final CancellationWatermark cancellationWatermark;
    private final LeaseRenewalPolicy leaseRenewal;
    private final Runnable schedule;
    private final HeartbeatResponseEncoder responses = new HeartbeatResponseEncoder();
    private boolean heldLeaseBefore;

    /** @param schedule asks for a round, after a report that changed something */
    public HeartbeatHandler(
            EventLoop loop,
            ClusterState clusterState,
            ReplicatedState replicatedState,
            AgentReconciler agentReconciler,
            CancellationEnforcer cancellationEnforcer,
            CancellationWatermark cancellationWatermark,
            LeaseRenewalPolicy leaseRenewal,
            Runnable schedule) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.replicatedState = replicatedState;
        this.agentReconciler = agentReconciler;
        this.cancellationEnforcer = cancellationEnforcer;
        this.cancellationWatermark = cancellationWatermark;
        this.leaseRenewal = leaseRenewal;
        this.schedule = schedule;
    }

    /** From now on reports are read also in times without entitlement. */
    public void onLeaseAcquired() {
        heldLeaseBefore = true;
    }

    /** Answers one heartbeat. */
    public void handle(HttpExchange exchange) {
        Instant now = loop.now();
        boolean holdsValidLease = replicatedState.holdsValidLease();
        if (!leaseRenewal.mayRenew(cancellationWatermark.knownThrough(replicatedState.knownThrough()), now)
                || !holdsValidLease && !heldLeaseBefore) {
            // Before the body is read: after a restart all workers ask again every second, and reading comes first.
            exchange.reject(503, RETRY_AFTER);
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = read(exchange);
        } catch (MalformedMessageException e) {
            LOG.info("a report cannot be read: {}", e.getMessage());
            exchange.respond(400, EMPTY);
            return;
        }
        if (holdsValidLease) {
            handle(exchange, agentReconciler.onHeartbeat(heartbeat, loop.now()));
        } else if (leaseRenewal.mayRenewDuringOutage(heartbeat, loop.now())) {
            exchange.respond(
                    200, responses.encode(clusterState.fencingToken(), cancellationEnforcer.stopCommands(heartbeat)));
        } else {
            exchange.reject(503, RETRY_AFTER);
        }
    }

    private Heartbeat read(HttpExchange exchange) throws MalformedMessageException {
        if (exchange.body() == null) {
            throw new MalformedMessageException("the body is larger than allowed");
        }
        return Heartbeat.parse(exchange.body(), agentReconciler::lastHeartbeat);
    }

    private void handle(HttpExchange exchange, HeartbeatResponse answer) {
        if (answer instanceof HeartbeatResponse.Accepted commands) {
            exchange.respond(200, responses.encode(commands.fencingToken(), commands.commands()));
            if (commands.changed()) {
                schedule.run();
            }
        } else if (answer instanceof HeartbeatResponse.Redirect elsewhere) {
            exchange.respond(421, AgentCommand.encodeRedirect(elsewhere.controller()));
        } else if (answer instanceof HeartbeatResponse.RedirectToAny) {
            exchange.respond(421, AgentCommand.encodeRedirect(null));
        } else {
            exchange.reject(503, RETRY_AFTER);
        }
    }
}
