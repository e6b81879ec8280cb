package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/**
 * A simulated agent that follows the agent protocol. Its tasks do no work and end after their run time. This class
 * holds the agent's lease, epoch and fencing token.
 */
public final class FakeAgent {
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(200);

    /** Provides agents with job data and receives the starts and ends of tasks. */
    public interface Environment {
        /** Returns the job as submitted by its user, or null if the job is unknown. */
        JobRequest jobOf(String job);

        /** Returns the actual run time of a task of the job. */
        Duration runTime(String job);

        /** Returns whether a task of the job fails at the end of its run time on this machine. */
        default boolean taskFails(String machine, String job) {
            return false;
        }

        default boolean isCompleted(String task) {
            return false;
        }

        void onTaskStarted(String machine, String task);

        /** Called when a task that has completed before is started again; it ends at once, since its result is kept. */
        default void onCompletedTaskStarted(String machine, String task) {}

        /**
         * Called when a task has ended on the machine.
         *
         * @param completed whether the task completed successfully; false if it failed, was stopped or was killed
         */
        void onTaskEnded(String machine, String task, boolean completed);
    }

    /** The type, zone and CPU count of a machine, and whether it is a spot machine. */
    public record Kind(String type, String zone, boolean spot, double cpus) {}

    /**
     * The machine of an agent.
     *
     * @param address the address at which controllers reach the agent
     */
    public record Machine(String name, String address, Kind kind) {}

    /**
     * The time settings of an agent.
     *
     * @param lease how long the agent may run tasks after it sent the last heartbeat that a controller accepted
     */
    public record Timing(Duration heartbeatInterval, Duration lease) {}

    private final EventLoop loop;
    private final Machine machine;
    private final Duration lease;
    private final AgentProcess process;
    private final AgentTasks tasks;
    private final HeartbeatLoop heartbeats;
    private long agentEpoch = 1;
    private long sequence;
    private long fencingToken;
    private Instant leaseRenewedAt;

    /** @param controllerAddresses public addresses of the controllers, by name */
    public FakeAgent(
            EventLoop loop,
            HttpClient client,
            Environment environment,
            RandomGenerator random,
            Machine machine,
            Map<String, String> controllerAddresses,
            Timing timing) {
        this.loop = loop;
        this.machine = machine;
        this.lease = timing.lease();
        this.process = new AgentProcess(loop);
        this.heartbeats = new HeartbeatLoop(
                loop, process, client, random, controllerAddresses, timing.heartbeatInterval(), this::nextHeartbeat);
        this.tasks = new AgentTasks(loop, process, environment, machine, heartbeats::sendSoon);
        this.leaseRenewedAt = loop.now();
        heartbeats.start();
        checkLease();
    }

    /**
     * Sets the agent epoch and the number of the last message, as the 64 bits of unsigned numbers. To be called before
     * the agent sends its first heartbeat.
     */
    public void startNumbersAt(long epoch, long lastSequence) {
        agentEpoch = epoch;
        sequence = lastSequence;
    }

    public String name() {
        return machine.name();
    }

    public String address() {
        return machine.address();
    }

    public Kind kind() {
        return machine.kind();
    }

    public boolean alive() {
        return process.alive();
    }

    public boolean hung() {
        return process.hung();
    }

    /** Returns the name of the controller to which the agent currently sends its heartbeats. */
    public String heartbeatTarget() {
        return heartbeats.target();
    }

    /** Terminates the machine and kills all of its tasks. */
    public void terminate() {
        if (process.alive()) {
            process.kill();
            tasks.killAll();
        }
    }

    /**
     * Makes the machine hang: for the duration no code runs on it, and its tasks make no progress. If the agent's lease
     * expires in that time, the agent kills its tasks when it resumes, before it reads the messages that have arrived.
     */
    public void hang(Duration duration) {
        if (!process.alive() || process.hung()) {
            return;
        }
        tasks.pauseAll();
        process.hang(duration, () -> {
            startNewEpochIfLeaseExpired();
            tasks.resumeAll();
        });
    }

    private void checkLease() {
        startNewEpochIfLeaseExpired();
        process.after(LEASE_CHECK_INTERVAL, this::checkLease);
    }

    private void startNewEpochIfLeaseExpired() {
        if (leaseRenewedAt.plus(lease).isBefore(loop.now())) {
            tasks.killAll();
            agentEpoch++;
            leaseRenewedAt = loop.now();
            heartbeats.sendSoon();
        }
    }

    private HeartbeatLoop.OutgoingHeartbeat nextHeartbeat() {
        Instant sentAt = loop.now();
        long epochWhenSent = agentEpoch;
        return new HeartbeatLoop.OutgoingHeartbeat(
                Cbor.encode(nextStatus()), response -> onHeartbeatAccepted(response, sentAt, epochWhenSent));
    }

    private void onHeartbeatAccepted(byte[] response, Instant sentAt, long epochWhenSent) {
        try {
            ObjectNode node = Cbor.decode(response);
            if (epochWhenSent != agentEpoch
                    || !node.has("baton")
                    || UnsignedNumbers.isLess(UnsignedNumbers.bits(node.path("baton")), fencingToken)) {
                return;
            }
            leaseRenewedAt = sentAt;
            execute(node);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Responds to a command batch or a status query. If the machine hangs, it responds when it resumes. */
    public void handle(HttpExchange exchange) {
        process.runWhenResponsive(() -> serve(exchange));
    }

    private void serve(HttpExchange exchange) {
        if (exchange.path().equals("/inspect")) {
            exchange.respond(HttpStatus.OK, Cbor.encode(nextStatus()));
            return;
        }
        try {
            ObjectNode node = Cbor.decode(exchange.body());
            if (!node.has("baton") || !node.has("flight")) {
                exchange.respond(HttpStatus.BAD_REQUEST, new byte[0]);
            } else if (UnsignedNumbers.isLess(UnsignedNumbers.bits(node.path("baton")), fencingToken)
                    || UnsignedNumbers.bits(node.path("flight")) != agentEpoch) {
                exchange.respond(HttpStatus.CONFLICT, Cbor.encode(nextStatus()));
            } else {
                execute(node);
                exchange.respond(HttpStatus.OK, Cbor.encode(nextStatus()));
            }
        } catch (MalformedMessageException e) {
            exchange.respond(HttpStatus.BAD_REQUEST, new byte[0]);
        }
    }

    /** Adopts the fencing token of the message and executes its commands. */
    private void execute(ObjectNode message) {
        fencingToken = UnsignedNumbers.bits(message.path("baton"));
        JsonNode commands = message.path("calls");
        commands.forEach(tasks::execute);
        if (!commands.isEmpty()) {
            heartbeats.sendSoon();
        }
    }

    private ObjectNode nextStatus() {
        ObjectNode node = Cbor.map()
                .put("perch", machine.name())
                .put("endpoint", machine.address())
                .put("breed", machine.kind().type())
                .put("shore", machine.kind().zone())
                .put("driftwood", machine.kind().spot());
        node.set("flight", UnsignedNumbers.node(agentEpoch));
        node.set("tally", UnsignedNumbers.node(++sequence));
        node.set("baton", UnsignedNumbers.node(fencingToken));
        node.putNull("warning_s");
        tasks.addStatuses(node.putArray("legs"));
        return node;
    }
}
