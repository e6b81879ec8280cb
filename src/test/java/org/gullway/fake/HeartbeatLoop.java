package org.gullway.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;

/**
 * Sends an agent's heartbeats to one controller, and switches to another controller after a redirect or a failed
 * heartbeat.
 */
final class HeartbeatLoop {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAX_REDIRECT_DELAY_MS = 500;
    /** Minimum time between the last heartbeat and one that is sent early because of an event on the machine. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(500);

    /**
     * One heartbeat to send.
     *
     * @param onAccepted receives the body of the response with which a controller accepts the heartbeat
     */
    // Array equality is irrelevant: bodies are never compared.
    @SuppressWarnings("ArrayRecordComponent")
    record OutgoingHeartbeat(byte[] body, Consumer<byte[]> onAccepted) {}

    private final EventLoop loop;
    private final AgentProcess process;
    private final HttpClient client;
    private final RandomGenerator random;
    private final Map<String, String> controllerAddresses;
    private final List<String> controllers;
    private final Duration interval;
    private final Supplier<OutgoingHeartbeat> nextHeartbeat;
    /** Index of the controller to which heartbeats are sent. */
    private int target;

    private Instant lastSentAt = Instant.MIN;
    private boolean inFlight;
    private Runnable cancelNext = () -> {};

    HeartbeatLoop(
            EventLoop loop,
            AgentProcess process,
            HttpClient client,
            RandomGenerator random,
            Map<String, String> controllerAddresses,
            Duration interval,
            Supplier<OutgoingHeartbeat> nextHeartbeat) {
        this.loop = loop;
        this.process = process;
        this.client = client;
        this.random = random;
        this.controllerAddresses = controllerAddresses;
        this.controllers = List.copyOf(controllerAddresses.keySet());
        this.interval = interval;
        this.nextHeartbeat = nextHeartbeat;
        this.target = random.nextInt(controllers.size());
    }

    void start() {
        schedule(Duration.ZERO);
    }

    /** Returns the name of the controller to which heartbeats are currently sent. */
    String target() {
        return controllers.get(target);
    }

    /** Schedules a heartbeat early because of an event on the machine, unless a heartbeat is in flight. */
    void sendSoon() {
        if (!inFlight) {
            Duration sinceLastSent =
                    lastSentAt.equals(Instant.MIN) ? interval : Duration.between(lastSentAt, loop.now());
            Duration wait = MIN_INTERVAL.minus(sinceLastSent);
            schedule(wait.isNegative() ? Duration.ZERO : wait);
        }
    }

    private void schedule(Duration delay) {
        cancelNext.run();
        cancelNext = process.after(delay, this::send);
    }

    private void send() {
        if (inFlight) {
            return;
        }
        inFlight = true;
        lastSentAt = loop.now();
        Instant sentAt = loop.now();
        String controller = target();
        OutgoingHeartbeat heartbeat = nextHeartbeat.get();
        client.call(
                controllerAddresses.get(controller),
                HttpRequest.post("/agent/beat", heartbeat.body(), RESPONSE_TIMEOUT),
                response -> process.runWhenResponsive(() -> onResponse(controller, sentAt, heartbeat, response)));
    }

    private void onResponse(
            String controller, Instant sentAt, OutgoingHeartbeat heartbeat, HttpResponse receivedResponse) {
        // After a hang, an agent processes responses late. A response processed after the timeout of its heartbeat
        // counts as a timeout.
        HttpResponse response =
                loop.now().isAfter(sentAt.plus(RESPONSE_TIMEOUT)) ? HttpResponse.unknown() : receivedResponse;
        inFlight = false;
        if (response.outcome() == HttpResponse.Outcome.ANSWERED && response.status() == HttpStatus.OK) {
            heartbeat.onAccepted().accept(response.body());
            schedule(Duration.ofMillis((long) (interval.toMillis() * (0.75 + random.nextDouble() / 2))));
            return;
        }
        Optional<String> redirect =
                redirectTarget(response).filter(name -> !name.equals(controller) && controllers.contains(name));
        if (redirect.isPresent()) {
            target = controllers.indexOf(redirect.get());
            schedule(Duration.ofMillis(random.nextInt(MAX_REDIRECT_DELAY_MS)));
        } else {
            target = (target + 1) % controllers.size();
            schedule(RETRY_DELAY);
        }
    }

    /** Returns the controller that the response names as responsible, if it is a redirect. */
    private static Optional<String> redirectTarget(HttpResponse response) {
        if (response.status() != HttpStatus.MISDIRECTED) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(
                    Cbor.decode(response.body()).path("roost").asText(null));
        } catch (MalformedMessageException e) {
            return Optional.empty();
        }
    }
}
