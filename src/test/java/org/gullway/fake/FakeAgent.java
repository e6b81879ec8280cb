package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/** An agent as its protocol describes it; its tasks only let time pass. */
public final class FakeAgent {
    /** What the world around tells an agent and wants to know from it. */
    public interface Environment {
        /** The description that users have uploaded, or null. */
        JobRequest jobOf(String job);

        /** How long a task of the job really runs. */
        Duration runTime(String job);

        /** The outcome of a task that ran its time. */
        default boolean fails(String machine, String job) {
            return false;
        }

        default boolean isCompleted(String task) {
            return false;
        }

        void onTaskStarted(String machine, String task);

        void onTaskEnded(String machine, String task, boolean done);
    }

    /** What a machine is, apart from its name. */
    public record Kind(String type, String zone, boolean spot, double cpus) {}

    private static final class Task {
        private final String id;
        private final long attempt;
        private String state = "running";
        private String cause;
        private Runnable timer = () -> {};
        private Duration left = Duration.ZERO;
        private Instant since;

        Task(String id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        String job() {
            return id.substring(0, id.indexOf('/'));
        }
    }

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final HttpClient client;
    private final Environment environment;
    private final RandomGenerator random;
    private final String name;
    private final String address;
    private final Kind kind;
    private final List<String> controllers;
    private final Map<String, String> controllerAddresses;
    private final Duration interval;
    private final Duration lease;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private int controller;
    private long agentEpoch = 1;
    private long sequence;
    private long fencingToken;
    private Instant leaseRenewedAt;
    private Instant lastHeartbeat = Instant.MIN;
    private boolean heartbeatInFlight;
    private boolean alive = true;
    private boolean hung;
    private final List<Runnable> deferred = new ArrayList<>();
    private Runnable nextHeartbeat = () -> {};

    public FakeAgent(
            EventLoop loop,
            HttpClient client,
            Environment environment,
            RandomGenerator random,
            String name,
            String address,
            Kind kind,
            Map<String, String> controllerAddresses,
            Duration interval,
            Duration lease) {
        this.loop = loop;
        this.client = client;
        this.environment = environment;
        this.random = random;
        this.name = name;
        this.address = address;
        this.kind = kind;
        this.controllerAddresses = controllerAddresses;
        this.controllers = List.copyOf(controllerAddresses.keySet());
        this.controller = random.nextInt(controllers.size());
        this.interval = interval;
        this.lease = lease;
        this.leaseRenewedAt = loop.now();
        scheduleHeartbeat(Duration.ZERO);
        checkLease();
    }

    public String name() {
        return name;
    }

    public String address() {
        return address;
    }

    public Kind kind() {
        return kind;
    }

    public boolean alive() {
        return alive;
    }

    /** The machine is gone, with all that is on it. */
    public void terminate() {
        if (alive) {
            alive = false;
            killAll();
        }
    }

    /**
     * For so long nothing runs on the machine; its tasks stay on it. Beyond its lease it first kills them when it goes
     * on; what has arrived meanwhile comes after that.
     */
    public void hang(Duration span) {
        if (!alive || hung) {
            return;
        }
        hung = true;
        for (Task task : tasks.values()) {
            if (!task.state.equals("ended")) {
                task.timer.run();
                task.left = task.left.minus(Duration.between(task.since, loop.now()));
            }
        }
        loop.after(span, () -> {
            hung = false;
            if (!alive) {
                return;
            }
            endEpochIfLeaseExpired();
            tasks.values().stream().filter(task -> !task.state.equals("ended")).forEach(this::resume);
            List<Runnable> missed = List.copyOf(deferred);
            deferred.clear();
            missed.forEach(Runnable::run);
        });
    }

    /** The name of the controller to which it reports at present. */
    public String heartbeatTarget() {
        return controllers.get(controller);
    }

    public boolean hung() {
        return hung;
    }

    /** The machine's own timers: what comes due while it hangs runs when it goes on. */
    private Runnable later(Duration delay, Runnable task) {
        return loop.after(delay, () -> runUnlessHung(task));
    }

    private void runUnlessHung(Runnable task) {
        if (hung) {
            deferred.add(task);
        } else {
            task.run();
        }
    }

    private void killAll() {
        for (Task task : tasks.values()) {
            if (!task.state.equals("ended")) {
                task.timer.run();
                environment.onTaskEnded(name, task.id, false);
            }
        }
        tasks.clear();
    }

    private void checkLease() {
        if (!alive) {
            return;
        }
        endEpochIfLeaseExpired();
        later(Duration.ofMillis(200), this::checkLease);
    }

    private void endEpochIfLeaseExpired() {
        if (leaseRenewedAt.plus(lease).isBefore(loop.now())) {
            killAll();
            agentEpoch++;
            leaseRenewedAt = loop.now();
            sendHeartbeatSoon();
        }
    }

    private void sendHeartbeatSoon() {
        if (!heartbeatInFlight) {
            Duration since = lastHeartbeat.equals(Instant.MIN) ? interval : Duration.between(lastHeartbeat, loop.now());
            Duration wait = Duration.ofMillis(500).minus(since);
            scheduleHeartbeat(wait.isNegative() ? Duration.ZERO : wait);
        }
    }

    private void scheduleHeartbeat(Duration delay) {
        nextHeartbeat.run();
        nextHeartbeat = later(delay, this::sendHeartbeat);
    }

    private void sendHeartbeat() {
        if (!alive || heartbeatInFlight) {
            return;
        }
        heartbeatInFlight = true;
        lastHeartbeat = loop.now();
        Instant sent = loop.now();
        long inAgentEpoch = agentEpoch;
        String to = controllers.get(controller);
        client.call(
                controllerAddresses.get(to),
                HttpRequest.post("/agent/beat", Cbor.encode(status()), RESPONSE_TIMEOUT),
                answer -> runUnlessHung(() -> {
                    // A machine that hung reads answers only now; it drops those that are older than its patience.
                    HttpResponse response =
                            loop.now().isAfter(sent.plus(RESPONSE_TIMEOUT)) ? HttpResponse.unknown() : answer;
                    heartbeatInFlight = false;
                    if (!alive) {
                        return;
                    }
                    if (response.outcome() == HttpResponse.Outcome.ANSWERED && response.status() == 200) {
                        onHeartbeatResponse(response.body(), sent, inAgentEpoch);
                        scheduleHeartbeat(
                                Duration.ofMillis((long) (interval.toMillis() * (0.75 + random.nextDouble() / 2))));
                    } else {
                        String next = response.status() == 421 ? redirect(response.body()) : null;
                        if (next != null && !next.equals(to) && controllers.contains(next)) {
                            controller = controllers.indexOf(next);
                            scheduleHeartbeat(Duration.ofMillis(random.nextInt(500)));
                        } else {
                            controller = (controller + 1) % controllers.size();
                            scheduleHeartbeat(Duration.ofSeconds(1));
                        }
                    }
                }));
    }

    private static String redirect(byte[] body) {
        try {
            return Cbor.decode(body).path("roost").asText(null);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    private void onHeartbeatResponse(byte[] body, Instant sent, long inAgentEpoch) {
        try {
            ObjectNode node = Cbor.decode(body);
            if (inAgentEpoch != agentEpoch
                    || !node.has("baton")
                    || node.path("baton").asLong() < fencingToken) {
                return;
            }
            fencingToken = node.path("baton").asLong();
            leaseRenewedAt = sent;
            execute(node.path("calls"));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers a direct command or a query, when the machine goes on if it hangs. */
    public void handle(HttpExchange exchange) {
        runUnlessHung(() -> serve(exchange));
    }

    private void serve(HttpExchange exchange) {
        if (!alive) {
            return;
        }
        if (exchange.path().equals("/inspect")) {
            exchange.respond(200, Cbor.encode(status()));
            return;
        }
        try {
            ObjectNode node = Cbor.decode(exchange.body());
            if (!node.has("baton") || !node.has("flight")) {
                exchange.respond(400, new byte[0]);
            } else if (node.path("baton").asLong() < fencingToken
                    || node.path("flight").asLong() != agentEpoch) {
                exchange.respond(409, Cbor.encode(status()));
            } else {
                fencingToken = node.path("baton").asLong();
                execute(node.path("calls"));
                exchange.respond(200, Cbor.encode(status()));
            }
        } catch (MalformedMessageException e) {
            exchange.respond(400, new byte[0]);
        }
    }

    private ObjectNode status() {
        ObjectNode node = Cbor.map()
                .put("perch", name)
                .put("endpoint", address)
                .put("breed", kind.type())
                .put("shore", kind.zone())
                .put("driftwood", kind.spot())
                .put("flight", agentEpoch)
                .put("tally", ++sequence)
                .put("baton", fencingToken)
                .putNull("warning_s");
        ArrayNode legs = node.putArray("legs");
        for (Task task : tasks.values()) {
            ObjectNode leg = legs.addObject()
                    .put("leg", task.id)
                    .put("launch", task.attempt)
                    .put("tide", task.state);
            if (task.cause != null) {
                leg.put("cause", task.cause);
            }
        }
        return node;
    }

    private void execute(JsonNode commands) {
        for (JsonNode command : commands) {
            String id = command.path("leg").asText();
            long attempt = command.path("launch").asLong();
            String key = id + "#" + attempt;
            Task task = tasks.get(key);
            switch (command.path("call").asText()) {
                case "start" -> {
                    if (task == null) {
                        start(key, new Task(id, attempt));
                    }
                }
                case "halt" -> {
                    if (task != null && !task.state.equals("ended")) {
                        end(task, "halted");
                    }
                }
                case "forget" -> {
                    if (task != null && task.state.equals("ended")) {
                        tasks.remove(key);
                    }
                }
                default -> throw new IllegalStateException("unknown command " + command);
            }
        }
        if (!commands.isEmpty()) {
            sendHeartbeatSoon();
        }
    }

    private void start(String key, Task task) {
        tasks.put(key, task);
        JobRequest job = environment.jobOf(task.job());
        if (job == null) {
            refuse(task, "no_such");
            return;
        }
        double used = 0;
        for (Task other : tasks.values()) {
            if (other != task && !other.state.equals("ended")) {
                if (other.id.equals(task.id)) {
                    refuse(task, "busy");
                    return;
                }
                used += environment.jobOf(other.job()).cpus();
            }
        }
        if (used + job.cpus() > kind.cpus() + 1e-6) {
            refuse(task, "full");
            return;
        }
        if (environment.isCompleted(task.id)) {
            // The result is kept: the task exits as soon as it has its image.
            refuse(task, "done");
            return;
        }
        environment.onTaskStarted(name, task.id);
        task.left = environment.runTime(task.job());
        resume(task);
    }

    private void resume(Task task) {
        task.since = loop.now();
        task.timer = later(task.left, () -> {
            if (alive && !task.state.equals("ended")) {
                end(task, environment.fails(name, task.job()) ? "error" : "done");
            }
        });
    }

    private static void refuse(Task task, String cause) {
        task.state = "ended";
        task.cause = cause;
    }

    private void end(Task task, String cause) {
        task.timer.run();
        task.state = "ended";
        task.cause = cause;
        environment.onTaskEnded(name, task.id, cause.equals("done"));
        sendHeartbeatSoon();
    }
}
