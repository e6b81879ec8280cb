package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.MachineControl;
import org.gullway.protocol.Command;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.WorkerReport;
import org.gullway.transport.Client;
import org.gullway.transport.EventLoop;
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
    private final Metrics metrics;
    private final Runnable schedule;

    /** @param schedule asks for a round, after every outcome */
    CommandSender(
            EventLoop loop,
            Client http,
            MachineControl machines,
            CancelledTasks cancelled,
            Metrics metrics,
            Runnable schedule) {
        this.loop = loop;
        this.http = http;
        this.machines = machines;
        this.cancelled = cancelled;
        this.metrics = metrics;
        this.schedule = schedule;
    }

    /** Sends commands to a machine that this controller commands. */
    void send(MachineControl.Push push) {
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

    private void command(
            MachineControl.Push push, Consumer<MachineControl.Outcome> ended, Consumer<WorkerReport> answers) {
        metrics.pushed();
        byte[] body = Command.direct(push.token(), push.session(), push.commands());
        http.call(push.address(), Reply.Request.post(PATH, body, LIMIT), reply -> {
            boolean answered = reply.kind() == Reply.Kind.ANSWERED && (reply.status() == 200 || reply.status() == 409);
            ended.accept(answered ? MachineControl.Outcome.ANSWERED : outcomeWithoutAnswer(reply.kind()));
            if (answered) {
                passOn(push, reply, answers);
            }
            schedule.run();
        });
    }

    private static MachineControl.Outcome outcomeWithoutAnswer(Reply.Kind kind) {
        return switch (kind) {
            case NO_SOCKET -> MachineControl.Outcome.NOT_TRIED;
            case NOT_SENT -> MachineControl.Outcome.NOT_SENT;
            default -> MachineControl.Outcome.UNKNOWN;
        };
    }

    private void passOn(MachineControl.Push push, Reply reply, Consumer<WorkerReport> answers) {
        try {
            answers.accept(WorkerReport.parse(reply.body(), machines::lastMessage));
        } catch (MalformedException e) {
            LOG.info("the answer of {} cannot be read: {}", push.machine(), e.getMessage());
        }
    }
}
