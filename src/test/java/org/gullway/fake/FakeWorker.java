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

/** A worker as its protocol describes it; its tasks only let time pass. */
public final class FakeWorker {
    /** What the world around tells a worker and wants to know from it. */
    public interface World {
        /** The description that users have uploaded, or null. */
        JobRequest describe(String job);

        /** How long a task of the job really runs. */
        Duration runTime(String job);

        /** The outcome of a task that ran its time. */
        default boolean fails(String machine, String job) {
            return false;
        }

        default boolean completed(String task) {
            return false;
        }

        void began(String machine, String task);

        void ended(String machine, String task, boolean done);
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

    private static final Duration PATIENCE = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final HttpClient client;
    private final World world;
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
    private Instant renewed;
    private Instant lastReport = Instant.MIN;
    private boolean reporting;
    private boolean alive = true;
    private boolean hung;
    private final List<Runnable> whenItGoesOn = new ArrayList<>();
    private Runnable nextReport = () -> {};

    public FakeWorker(
            EventLoop loop,
            HttpClient client,
            World world,
            RandomGenerator random,
            String name,
            String address,
            Kind kind,
            Map<String, String> controllerAddresses,
            Duration interval,
            Duration lease) {
        this.loop = loop;
        this.client = client;
        this.world = world;
        this.random = random;
        this.name = name;
        this.address = address;
        this.kind = kind;
        this.controllerAddresses = controllerAddresses;
        this.controllers = List.copyOf(controllerAddresses.keySet());
        this.controller = random.nextInt(controllers.size());
        this.interval = interval;
        this.lease = lease;
        this.renewed = loop.now();
        reportIn(Duration.ZERO);
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
    public void die() {
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
            endSessionIfOver();
            tasks.values().stream().filter(task -> !task.state.equals("ended")).forEach(this::goOn);
            List<Runnable> missed = List.copyOf(whenItGoesOn);
            whenItGoesOn.clear();
            missed.forEach(Runnable::run);
        });
    }

    /** The name of the controller to which it reports at present. */
    public String reportsTo() {
        return controllers.get(controller);
    }

    public boolean hung() {
        return hung;
    }

    /** The machine's own timers: what comes due while it hangs runs when it goes on. */
    private Runnable later(Duration delay, Runnable task) {
        return loop.after(delay, () -> unlessHung(task));
    }

    private void unlessHung(Runnable task) {
        if (hung) {
            whenItGoesOn.add(task);
        } else {
            task.run();
        }
    }

    private void killAll() {
        for (Task task : tasks.values()) {
            if (!task.state.equals("ended")) {
                task.timer.run();
                world.ended(name, task.id, false);
            }
        }
        tasks.clear();
    }

    private void checkLease() {
        if (!alive) {
            return;
        }
        endSessionIfOver();
        later(Duration.ofMillis(200), this::checkLease);
    }

    private void endSessionIfOver() {
        if (renewed.plus(lease).isBefore(loop.now())) {
            killAll();
            agentEpoch++;
            renewed = loop.now();
            changed();
        }
    }

    private void changed() {
        if (!reporting) {
            Duration since = lastReport.equals(Instant.MIN) ? interval : Duration.between(lastReport, loop.now());
            Duration wait = Duration.ofMillis(500).minus(since);
            reportIn(wait.isNegative() ? Duration.ZERO : wait);
        }
    }

    private void reportIn(Duration delay) {
        nextReport.run();
        nextReport = later(delay, this::report);
    }

    private void report() {
        if (!alive || reporting) {
            return;
        }
        reporting = true;
        lastReport = loop.now();
        Instant sent = loop.now();
        long inAgentEpoch = agentEpoch;
        String to = controllers.get(controller);
        client.call(
                controllerAddresses.get(to),
                HttpRequest.post("/agent/beat", Cbor.encode(account()), PATIENCE),
                answer -> unlessHung(() -> {
                    // A machine that hung reads answers only now; it drops those that are older than its patience.
                    HttpResponse response = loop.now().isAfter(sent.plus(PATIENCE)) ? HttpResponse.unknown() : answer;
                    reporting = false;
                    if (!alive) {
                        return;
                    }
                    if (response.outcome() == HttpResponse.Outcome.ANSWERED && response.status() == 200) {
                        accept(response.body(), sent, inAgentEpoch);
                        reportIn(Duration.ofMillis((long) (interval.toMillis() * (0.75 + random.nextDouble() / 2))));
                    } else {
                        String next = response.status() == 421 ? redirect(response.body()) : null;
                        if (next != null && !next.equals(to) && controllers.contains(next)) {
                            controller = controllers.indexOf(next);
                            reportIn(Duration.ofMillis(random.nextInt(500)));
                        } else {
                            controller = (controller + 1) % controllers.size();
                            reportIn(Duration.ofSeconds(1));
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

    private void accept(byte[] body, Instant sent, long inAgentEpoch) {
        try {
            ObjectNode node = Cbor.decode(body);
            if (inAgentEpoch != agentEpoch
                    || !node.has("baton")
                    || node.path("baton").asLong() < fencingToken) {
                return;
            }
            fencingToken = node.path("baton").asLong();
            renewed = sent;
            execute(node.path("calls"));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers a direct command or a question, when the machine goes on if it hangs. */
    public void handle(HttpExchange exchange) {
        unlessHung(() -> serve(exchange));
    }

    private void serve(HttpExchange exchange) {
        if (!alive) {
            return;
        }
        if (exchange.path().equals("/inspect")) {
            exchange.respond(200, Cbor.encode(account()));
            return;
        }
        try {
            ObjectNode node = Cbor.decode(exchange.body());
            if (!node.has("baton") || !node.has("flight")) {
                exchange.respond(400, new byte[0]);
            } else if (node.path("baton").asLong() < fencingToken
                    || node.path("flight").asLong() != agentEpoch) {
                exchange.respond(409, Cbor.encode(account()));
            } else {
                fencingToken = node.path("baton").asLong();
                execute(node.path("calls"));
                exchange.respond(200, Cbor.encode(account()));
            }
        } catch (MalformedMessageException e) {
            exchange.respond(400, new byte[0]);
        }
    }

    private ObjectNode account() {
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
            changed();
        }
    }

    private void start(String key, Task task) {
        tasks.put(key, task);
        JobRequest job = world.describe(task.job());
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
                used += world.describe(other.job()).cpus();
            }
        }
        if (used + job.cpus() > kind.cpus() + 1e-6) {
            refuse(task, "full");
            return;
        }
        if (world.completed(task.id)) {
            // The result is kept: the task exits as soon as it has its image.
            refuse(task, "done");
            return;
        }
        world.began(name, task.id);
        task.left = world.runTime(task.job());
        goOn(task);
    }

    private void goOn(Task task) {
        task.since = loop.now();
        task.timer = later(task.left, () -> {
            if (alive && !task.state.equals("ended")) {
                end(task, world.fails(name, task.job()) ? "error" : "done");
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
        world.ended(name, task.id, cause.equals("done"));
        changed();
    }
}
