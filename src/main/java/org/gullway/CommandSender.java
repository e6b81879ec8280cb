package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.CommandBatch;
import org.gullway.coordination.CommandOutcome;
import org.gullway.coordination.MachineControl;
import org.gullway.coordination.StartAuthorization;
import org.gullway.protocol.Command;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.WorkerReport;
import org.gullway.transport.Client;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands to workers and passes on what became of them and what the workers answered. */
final class CommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);
    private static final String PATH = "/do";
    private static final Duration LIMIT = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final Client http;
    private final MachineControl machines;
    private final CancelledTasks cancelled;
    private final StartAuthorization authorization;
    private final BooleanSupplier entitled;
    private final InvariantMonitor invariants;
    private final Metrics metrics;
    private final Runnable schedule;

    /**
     * @param entitled whether this controller may act at this moment
     * @param schedule asks for a round, after every outcome
     */
    CommandSender(
            EventLoop loop,
            Client http,
            MachineControl machines,
            CancelledTasks cancelled,
            StartAuthorization authorization,
            BooleanSupplier entitled,
            InvariantMonitor invariants,
            Metrics metrics,
            Runnable schedule) {
        this.loop = loop;
        this.http = http;
        this.machines = machines;
        this.cancelled = cancelled;
        this.authorization = authorization;
        this.entitled = entitled;
        this.invariants = invariants;
        this.metrics = metrics;
        this.schedule = schedule;
    }

    /** Sends commands to a machine that this controller commands. */
    void send(CommandBatch push) {
        command(
                push,
                outcome -> machines.pushEnded(push, outcome, loop.now()),
                answer -> machines.answered(answer, loop.now()));
    }

    /** Sends the stops of cancelled tasks that are due while the state service is away, whoever commands the machine. */
    void sendStopsOfCancelled(Instant now) {
        cancelled
                .press(now)
                .forEach(push -> command(push, outcome -> cancelled.pressed(push, loop.now()), cancelled::answered));
    }

    /** The same push with only those starts that are allowed at this moment. */
    private CommandBatch authorized(CommandBatch push) {
        if (!push.starts()) {
            return push;
        }
        List<Command> allowed = new ArrayList<>();
        for (Command command : push.commands()) {
            if (command.kind() != Command.Kind.START || mayStart(push, command)) {
                allowed.add(command);
            }
        }
        return push.with(allowed);
    }

    private boolean mayStart(CommandBatch push, Command start) {
        if (!entitled.getAsBoolean()) {
            LOG.debug("no start of {} on {}: not entitled any more", start.task(), push.machine());
            return false;
        }
        String objection = authorization.objection(push, start);
        if (objection != null) {
            invariants.violated("start of " + start.task() + " attempt " + start.attempt() + " on " + push.machine()
                    + " in session " + push.session() + " under epoch " + push.token() + ": " + objection);
            return false;
        }
        return true;
    }

    /** One line for all commands: a line costs more than what it says. */
    private void log(CommandBatch batch) {
        StringBuilder commands = new StringBuilder();
        for (Command command : batch.commands()) {
            commands.append(commands.isEmpty() ? "" : ", ")
                    .append(command.kind())
                    .append(' ')
                    .append(command.task())
                    .append('#')
                    .append(command.attempt())
                    .append(" by revision ")
                    .append(authorization.revision(command));
        }
        LOG.debug("to {} in session {} under epoch {}: {}", batch.machine(), batch.session(), batch.token(), commands);
    }

    private void command(CommandBatch wanted, Consumer<CommandOutcome> ended, Consumer<WorkerReport> answers) {
        CommandBatch push = authorized(wanted);
        if (LOG.isDebugEnabled() && !push.commands().isEmpty()) {
            log(push);
        }
        metrics.pushed();
        byte[] body = Command.direct(push.token(), push.session(), push.commands());
        http.call(push.address(), HttpRequest.post(PATH, body, LIMIT), reply -> {
            boolean answered = reply.kind() == Reply.Kind.ANSWERED && (reply.status() == 200 || reply.status() == 409);
            ended.accept(answered ? CommandOutcome.ANSWERED : outcomeWithoutAnswer(reply.kind()));
            if (answered) {
                passOn(push, reply, answers);
            }
            schedule.run();
        });
    }

    private static CommandOutcome outcomeWithoutAnswer(Reply.Kind kind) {
        return switch (kind) {
            case NO_SOCKET -> CommandOutcome.NOT_TRIED;
            case NOT_SENT -> CommandOutcome.NOT_SENT;
            default -> CommandOutcome.UNKNOWN;
        };
    }

    private void passOn(CommandBatch push, Reply reply, Consumer<WorkerReport> answers) {
        try {
            answers.accept(WorkerReport.parse(reply.body(), machines::lastMessage));
        } catch (MalformedException e) {
            LOG.info("the answer of {} cannot be read: {}", push.machine(), e.getMessage());
        }
    }
}
