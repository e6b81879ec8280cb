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
 * An agent as its protocol describes it; its tasks only let time pass. This class keeps the agent's lease, epoch and
 * fencing token.
 */
public final class FakeAgent {
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(200);

    /** What agents know of jobs, and who is notified when tasks start and end. */
    public interface Environment {
        /** The description that users have uploaded, or null. */
        JobRequest jobOf(String job);

        /** How long a task of the job really runs. */
        Duration runTime(String job);

        /** Whether a task of the job that has run its time on this machine has failed. */
        default boolean taskFails(String machine, String job) {
            return false;
        }

        default boolean isCompleted(String task) {
            return false;
        }

        void onTaskStarted(String machine, String task);

        /**
         * A task is no longer on the machine.
         *
         * @param done whether it has completed, and was not stopped or killed
         */
        void onTaskEnded(String machine, String task, boolean done);
    }

    /** What a machine is, apart from its name. */
    public record Kind(String type, String zone, boolean spot, double cpus) {}

    /**
     * The machine of an agent.
     *
     * @param address where controllers reach the agent
     */
    public record Machine(String name, String address, Kind kind) {}

    /**
     * The durations that the settings give an agent.
     *
     * @param lease how long it may run tasks after the heartbeat that was accepted last
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

    /** The name of the controller that gets its heartbeats at present. */
    public String heartbeatTarget() {
        return heartbeats.target();
    }

    /** The machine is gone, with all that is on it. */
    public void terminate() {
        if (process.alive()) {
            process.kill();
            tasks.killAll();
        }
    }

    /**
     * For so long nothing runs on the machine; its tasks stay on it. If its lease expires in that time it first kills
     * them when it resumes; messages that have arrived are read after that.
     */
    public void hang(Duration span) {
        if (!process.alive() || process.hung()) {
            return;
        }
        tasks.pauseAll();
        process.hang(span, () -> {
            endEpochIfLeaseExpired();
            tasks.resumeAll();
        });
    }

    private void checkLease() {
        endEpochIfLeaseExpired();
        process.after(LEASE_CHECK_INTERVAL, this::checkLease);
    }

    private void endEpochIfLeaseExpired() {
        if (leaseRenewedAt.plus(lease).isBefore(loop.now())) {
            tasks.killAll();
            agentEpoch++;
            leaseRenewedAt = loop.now();
            heartbeats.sendSoon();
        }
    }

    private HeartbeatLoop.Outgoing nextHeartbeat() {
        Instant sent = loop.now();
        long sentInEpoch = agentEpoch;
        return new HeartbeatLoop.Outgoing(
                Cbor.encode(status()), response -> onHeartbeatAccepted(response, sent, sentInEpoch));
    }

    private void onHeartbeatAccepted(byte[] response, Instant sent, long sentInEpoch) {
        try {
            ObjectNode node = Cbor.decode(response);
            if (sentInEpoch != agentEpoch
                    || !node.has("baton")
                    || node.path("baton").asLong() < fencingToken) {
                return;
            }
            leaseRenewedAt = sent;
            execute(node);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers a command batch or a query, on resuming if the machine hangs. */
    public void handle(HttpExchange exchange) {
        process.runUnlessHung(() -> serve(exchange));
    }

    private void serve(HttpExchange exchange) {
        if (exchange.path().equals("/inspect")) {
            exchange.respond(HttpStatus.OK, Cbor.encode(status()));
            return;
        }
        try {
            ObjectNode node = Cbor.decode(exchange.body());
            if (!node.has("baton") || !node.has("flight")) {
                exchange.respond(HttpStatus.BAD_REQUEST, new byte[0]);
            } else if (node.path("baton").asLong() < fencingToken
                    || node.path("flight").asLong() != agentEpoch) {
                exchange.respond(HttpStatus.CONFLICT, Cbor.encode(status()));
            } else {
                execute(node);
                exchange.respond(HttpStatus.OK, Cbor.encode(status()));
            }
        } catch (MalformedMessageException e) {
            exchange.respond(HttpStatus.BAD_REQUEST, new byte[0]);
        }
    }

    /** Takes over the message's fencing token and carries out its commands. */
    private void execute(ObjectNode message) {
        fencingToken = message.path("baton").asLong();
        JsonNode commands = message.path("calls");
        commands.forEach(tasks::execute);
        if (!commands.isEmpty()) {
            heartbeats.sendSoon();
        }
    }

    private ObjectNode status() {
        ObjectNode node = Cbor.map()
                .put("perch", machine.name())
                .put("endpoint", machine.address())
                .put("breed", machine.kind().type())
                .put("shore", machine.kind().zone())
                .put("driftwood", machine.kind().spot())
                .put("flight", agentEpoch)
                .put("tally", ++sequence)
                .put("baton", fencingToken)
                .putNull("warning_s");
        tasks.addTo(node.putArray("legs"));
        return node;
    }
}
