package org.gullway.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.agents.StartAuthorization;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.observability.InvariantMonitor;
import org.gullway.observability.Metrics;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands to agents, and passes the outcomes and the agents' responses to the components that track them. */
public final class CommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);
    private static final String PATH = "/do";
    private static final Duration TIMEOUT = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final HttpClient httpClient;
    private final AgentReconciler agentReconciler;
    private final CancellationEnforcer cancellationEnforcer;
    private final StartAuthorization authorization;
    private final StartGate startGate;
    private final Metrics metrics;
    private final Runnable requestCycle;

    /**
     * @param holdsValidLease returns whether this controller holds a valid lease, without which it must not start tasks
     * @param requestCycle requests a scheduling cycle; called after the outcome of each command batch
     */
    public CommandSender(
            EventLoop loop,
            HttpClient httpClient,
            AgentReconciler agentReconciler,
            CancellationEnforcer cancellationEnforcer,
            StartAuthorization authorization,
            BooleanSupplier holdsValidLease,
            InvariantMonitor invariants,
            Metrics metrics,
            Runnable requestCycle) {
        this.loop = loop;
        this.httpClient = httpClient;
        this.agentReconciler = agentReconciler;
        this.cancellationEnforcer = cancellationEnforcer;
        this.authorization = authorization;
        this.startGate = new StartGate(authorization, holdsValidLease, invariants);
        this.metrics = metrics;
        this.requestCycle = requestCycle;
    }

    /**
     * Sends a command batch to the agent of a machine that is assigned to this controller. A batch without commands is
     * a probe and is sent too: the agent responds with its state.
     */
    public void send(CommandBatch batch) {
        send(
                batch,
                outcome -> agentReconciler.onCommandOutcome(batch, outcome, loop.now()),
                response -> agentReconciler.onCommandResponse(response, loop.now()));
    }

    /**
     * Sends the due stop commands for tasks of cancelled jobs to all machines that may run them, including machines
     * that are assigned to other controllers. Called while this controller holds no valid lease.
     */
    public void sendCancellationStops(Instant now) {
        cancellationEnforcer
                .directStopsDue(now)
                .forEach(batch -> send(
                        batch,
                        outcome -> cancellationEnforcer.onDirectStopEnded(batch, loop.now()),
                        cancellationEnforcer::onDirectStopResponse));
    }

    /**
     * Sends as many commands of a batch as fit into one request; the others are due again after its outcome. Until its
     * outcome, the machine gets no other batch, so there is an outcome in any case: a batch that cannot be encoded was
     * not sent.
     */
    private void send(CommandBatch plannedBatch, Consumer<CommandOutcome> onOutcome, Consumer<Heartbeat> onResponse) {
        CommandBatch batch;
        byte[] body;
        try {
            batch = startGate.withoutDeniedStarts(plannedBatch).withCommandsThatFit();
            body = AgentCommand.encodeDirect(batch.fencingToken(), batch.agentEpoch(), batch.commands());
        } catch (RuntimeException e) {
            LOG.error("could not encode commands and did not send them machine={}", plannedBatch.machine(), e);
            onOutcome.accept(CommandOutcome.NOT_SENT);
            return;
        }
        if (LOG.isDebugEnabled() && !batch.commands().isEmpty()) {
            logCommands(batch);
        }
        metrics.commandBatchSent();
        httpClient.call(batch.address(), HttpRequest.post(PATH, body, TIMEOUT), response -> {
            CommandOutcome outcome = outcomeOf(response);
            onOutcome.accept(outcome);
            if (outcome == CommandOutcome.ANSWERED) {
                parseResponse(batch, response, onResponse);
            }
            requestCycle.run();
        });
    }

    /** Logs all commands of a batch in one line, since writing a line costs more than its content. */
    private void logCommands(CommandBatch batch) {
        StringBuilder commands = new StringBuilder();
        for (AgentCommand command : batch.commands()) {
            commands.append(commands.isEmpty() ? "" : ", ")
                    .append(command.kind())
                    .append(" task=")
                    .append(command.task())
                    .append(" attempt=")
                    .append(command.attempt())
                    .append(" revision=")
                    .append(authorization.revision(command));
        }
        LOG.debug(
                "sending commands machine={} agent_epoch={} fencing_token={} commands=[{}]",
                batch.machine(),
                batch.agentEpoch(),
                batch.fencingToken(),
                commands);
    }

    /**
     * Maps the HTTP response to the outcome of the commands. Status 409 counts as answered, because an agent that
     * rejects a fencing token or an agent epoch responds with its state too.
     */
    private static CommandOutcome outcomeOf(HttpResponse response) {
        return switch (response.outcome()) {
            case ANSWERED -> response.status() == HttpStatus.OK || response.status() == HttpStatus.CONFLICT
                    ? CommandOutcome.ANSWERED
                    : CommandOutcome.UNKNOWN;
            case NO_SOCKET -> CommandOutcome.NO_SOCKET;
            case NOT_SENT -> CommandOutcome.NOT_SENT;
            case TOO_LARGE, UNKNOWN -> CommandOutcome.UNKNOWN;
        };
    }

    /** Parses a command response, which has the format of a heartbeat and lists the agent's tasks. */
    private void parseResponse(CommandBatch batch, HttpResponse response, Consumer<Heartbeat> onResponse) {
        try {
            onResponse.accept(Heartbeat.parse(response.body(), agentReconciler::lastMessage));
        } catch (MalformedMessageException e) {
            LOG.info("ignored a malformed command response machine={} error={}", batch.machine(), e.getMessage());
        }
    }
}
