package org.gullway.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands to workers and passes on what became of them and what the workers answered. */
public final class CommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);
    private static final String PATH = "/do";
    private static final Duration LIMIT = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final HttpClient httpClient;
    private final AgentReconciler agentReconciler;
    private final CancellationEnforcer cancellationEnforcer;
    private final StartAuthorization authorization;
    private final BooleanSupplier holdsValidLease;
    private final InvariantMonitor invariants;
    private final Metrics metrics;
    private final Runnable schedule;

    /**
     * @param entitled whether this controller may act at this moment
     * @param schedule asks for a round, after every outcome
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
            Runnable schedule) {
        this.loop = loop;
        this.httpClient = httpClient;
        this.agentReconciler = agentReconciler;
        this.cancellationEnforcer = cancellationEnforcer;
        this.authorization = authorization;
        this.holdsValidLease = holdsValidLease;
        this.invariants = invariants;
        this.metrics = metrics;
        this.schedule = schedule;
    }

    /** Sends commands to a machine that this controller commands. */
    public void send(CommandBatch batch) {
        command(
                batch,
                outcome -> agentReconciler.onCommandOutcome(batch, outcome, loop.now()),
                answer -> agentReconciler.onCommandResponse(answer, loop.now()));
    }

    /** Sends the stops of cancelled tasks that are due while the state service is away, whoever commands the machine. */
    public void sendCancellationStops(Instant now) {
        cancellationEnforcer
                .stopsToRetry(now)
                .forEach(batch -> command(
                        batch,
                        outcome -> cancellationEnforcer.onStopOutcome(batch, loop.now()),
                        cancellationEnforcer::onCommandResponse));
    }

    /** The same push with only those starts that are allowed at this moment. */
    private CommandBatch authorized(CommandBatch batch) {
        if (!batch.hasStarts()) {
            return batch;
        }
        List<AgentCommand> allowed = new ArrayList<>();
        for (AgentCommand command : batch.commands()) {
            if (command.kind() != AgentCommand.Kind.START || isStartAllowed(batch, command)) {
                allowed.add(command);
            }
        }
        return batch.withCommands(allowed);
    }

    private boolean isStartAllowed(CommandBatch batch, AgentCommand start) {
        if (!holdsValidLease.getAsBoolean()) {
            LOG.debug("no start of {} on {}: not entitled any more", start.task(), batch.machine());
            return false;
        }
        Optional<String> denialReason = authorization.denialReason(batch, start);
        if (denialReason.isPresent()) {
            invariants.onViolation("start of " + start.task() + " attempt " + start.attempt() + " on " + batch.machine()
                    + " in session " + batch.agentEpoch() + " under epoch " + batch.fencingToken() + ": "
                    + denialReason.get());
            return false;
        }
        return true;
    }

    /** One line for all commands: a line costs more than what it says. */
    private void log(CommandBatch batch) {
        StringBuilder commands = new StringBuilder();
        for (AgentCommand command : batch.commands()) {
            commands.append(commands.isEmpty() ? "" : ", ")
                    .append(command.kind())
                    .append(' ')
                    .append(command.task())
                    .append('#')
                    .append(command.attempt())
                    .append(" by revision ")
                    .append(authorization.revision(command));
        }
        LOG.debug(
                "to {} in session {} under epoch {}: {}",
                batch.machine(),
                batch.agentEpoch(),
                batch.fencingToken(),
                commands);
    }

    private void command(CommandBatch wanted, Consumer<CommandOutcome> ended, Consumer<Heartbeat> answers) {
        CommandBatch batch = authorized(wanted);
        if (LOG.isDebugEnabled() && !batch.commands().isEmpty()) {
            log(batch);
        }
        metrics.commandSent();
        byte[] body = AgentCommand.encodeDirect(batch.fencingToken(), batch.agentEpoch(), batch.commands());
        httpClient.call(batch.address(), HttpRequest.post(PATH, body, LIMIT), response -> {
            boolean answered = response.outcome() == HttpResponse.Outcome.ANSWERED
                    && (response.status() == 200 || response.status() == 409);
            ended.accept(answered ? CommandOutcome.ANSWERED : outcomeWithoutAnswer(response.outcome()));
            if (answered) {
                passOn(batch, response, answers);
            }
            schedule.run();
        });
    }

    private static CommandOutcome outcomeWithoutAnswer(HttpResponse.Outcome kind) {
        return switch (kind) {
            case NO_SOCKET -> CommandOutcome.NO_SOCKET;
            case NOT_SENT -> CommandOutcome.NOT_SENT;
            default -> CommandOutcome.UNKNOWN;
        };
    }

    private void passOn(CommandBatch batch, HttpResponse response, Consumer<Heartbeat> answers) {
        try {
            answers.accept(Heartbeat.parse(response.body(), agentReconciler::lastHeartbeat));
        } catch (MalformedMessageException e) {
            LOG.info("the answer of {} cannot be read: {}", batch.machine(), e.getMessage());
        }
    }
}
