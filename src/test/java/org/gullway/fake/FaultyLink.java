package org.gullway.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;

/** A link between two parties on which messages are held back, lost, delayed or duplicated. */
public final class FaultyLink {
    /**
     * The faults of the messages on a link.
     *
     * @param lostShare share of requests that are lost
     * @param responseLossShare share of requests that are processed and whose response is lost
     * @param lateShare share of requests that are processed late and whose response is lost
     * @param lateDelayRange the range of the random delay of late requests and of copies, which is added to a minimum
     *     delay
     * @param copiedShare share of requests that are answered and of which a copy is delivered late, without a response
     * @param slowShare share of the remaining requests, including the copied ones, whose responses are delayed
     * @param maxResponseDelay the upper bound of the delay of these responses
     */
    public record Conditions(
            double lostShare,
            double responseLossShare,
            double lateShare,
            Duration lateDelayRange,
            double copiedShare,
            double slowShare,
            Duration maxResponseDelay) {
        public static final Conditions NO_FAULTS = new Conditions(0, 0, 0, Duration.ZERO, 0, 0, Duration.ZERO);
    }

    private static final Duration MIN_DELAY = Duration.ofMillis(200);

    private final EventLoop loop;
    private final RandomGenerator random;
    private final List<Runnable> held = new ArrayList<>();
    private Conditions conditions = Conditions.NO_FAULTS;
    private boolean isCut;

    /** Creates a link without faults. */
    public FaultyLink(EventLoop loop, RandomGenerator random) {
        this.loop = loop;
        this.random = random;
    }

    /** Sets the faults of the messages that are sent from now on. */
    public void set(Conditions newConditions) {
        conditions = newConditions;
    }

    /**
     * Cuts or restores the link. While it is cut, new requests are held back. When it is restored, they are delivered
     * in order without further faults, even if their senders have timed out.
     */
    public void cut(boolean on) {
        isCut = on;
        if (!on) {
            List<Runnable> heldMessages = List.copyOf(held);
            held.clear();
            heldMessages.forEach(Runnable::run);
        }
    }

    /**
     * Returns a handler that passes requests through this link to a server's handler, which sees this name as their
     * sender.
     */
    public Consumer<HttpExchange> wrapHandler(String from, Consumer<HttpExchange> handler) {
        return exchange -> deliver(
                new SimulatedNetwork.Message(
                        from,
                        exchange.method(),
                        exchange.path(),
                        exchange.query(),
                        exchange.body(),
                        response -> exchange.respond(response.status(), response.body())),
                handler);
    }

    /**
     * Returns a handler that uses the client to forward requests through this link to the address. A request that could
     * not be sent is answered with 503; a request with unknown outcome is not answered.
     */
    public Consumer<HttpExchange> forwarder(String address, HttpClient client, Duration timeout) {
        return wrapHandler(
                "",
                message -> client.call(address, toRequest(message, timeout), response -> {
                    if (response.outcome() == HttpResponse.Outcome.ANSWERED) {
                        message.respond(response.status(), response.body());
                    } else if (response.outcome() != HttpResponse.Outcome.UNKNOWN) {
                        message.respond(HttpStatus.SERVICE_UNAVAILABLE, new byte[0]);
                    }
                }));
    }

    /** Returns a client whose requests pass through this link. */
    public HttpClient wrapClient(HttpClient client) {
        return (address, request, callback) -> {
            Consumer<HttpResponse> once = once(callback);
            loop.after(request.timeout(), () -> once.accept(HttpResponse.unknown()));
            deliver(
                    SimulatedNetwork.Message.of("", request, once),
                    exchange -> client.call(
                            address,
                            toRequest(exchange, request.timeout()),
                            ((SimulatedNetwork.Message) exchange).reply()));
        };
    }

    /** Returns a callback that passes on only the first call: a response, a failure or the timeout. */
    private static Consumer<HttpResponse> once(Consumer<HttpResponse> callback) {
        boolean[] finished = new boolean[1];
        return response -> {
            if (!finished[0]) {
                finished[0] = true;
                callback.accept(response);
            }
        };
    }

    private static HttpRequest toRequest(HttpExchange exchange, Duration timeout) {
        String path = exchange.query().isEmpty() ? exchange.path() : exchange.path() + "?" + exchange.query();
        return new HttpRequest(exchange.method(), path, exchange.body(), timeout);
    }

    private void deliver(SimulatedNetwork.Message message, Consumer<HttpExchange> target) {
        if (isCut) {
            held.add(() -> target.accept(message));
            return;
        }
        double draw = random.nextDouble();
        if (draw < conditions.lostShare()) {
            return;
        }
        draw -= conditions.lostShare();
        if (draw < conditions.responseLossShare()) {
            target.accept(withoutResponse(message));
            return;
        }
        draw -= conditions.responseLossShare();
        if (draw < conditions.lateShare()) {
            deliverLater(message, target);
            return;
        }
        if (draw - conditions.lateShare() < conditions.copiedShare()) {
            deliverLater(message, target);
        }
        target.accept(withSlowResponse(message));
    }

    private void deliverLater(SimulatedNetwork.Message message, Consumer<HttpExchange> target) {
        Duration delay = MIN_DELAY.plusMillis(
                random.nextLong(1 + conditions.lateDelayRange().toMillis()));
        loop.after(delay, () -> target.accept(withoutResponse(message)));
    }

    private static SimulatedNetwork.Message withoutResponse(SimulatedNetwork.Message message) {
        return message.withReply(response -> {});
    }

    private SimulatedNetwork.Message withSlowResponse(SimulatedNetwork.Message message) {
        if (random.nextDouble() >= conditions.slowShare()) {
            return message;
        }
        Duration delay =
                Duration.ofMillis(random.nextLong(conditions.maxResponseDelay().toMillis()));
        return message.withReply(
                response -> loop.after(delay, () -> message.reply().accept(response)));
    }
}
