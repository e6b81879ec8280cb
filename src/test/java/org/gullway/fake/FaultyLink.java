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

/** A link between two parties, on which whole messages are held, lost, delayed, repeated or applied late. */
public final class FaultyLink {
    /**
     * What happens to the messages on a link.
     *
     * @param lost share of requests that never arrive
     * @param unanswered share of requests that are applied and whose response is lost
     * @param late share of requests that are applied late, without a response
     * @param latest the longest delay of late requests and of copies
     * @param copied share of requests that are answered and arrive a second time
     * @param slow share of the other requests whose responses are delayed
     * @param slowest the longest delay of these responses
     */
    public record Conditions(
            double lost,
            double unanswered,
            double late,
            Duration latest,
            double copied,
            double slow,
            Duration slowest) {
        public static final Conditions NO_FAULTS = new Conditions(0, 0, 0, Duration.ZERO, 0, 0, Duration.ZERO);
    }

    private static final Duration MIN_DELAY = Duration.ofMillis(200);

    private final EventLoop loop;
    private final RandomGenerator random;
    private final List<Runnable> held = new ArrayList<>();
    private Conditions conditions = Conditions.NO_FAULTS;
    private boolean cut;

    /** A link without faults. */
    public FaultyLink(EventLoop loop, RandomGenerator random) {
        this.loop = loop;
        this.random = random;
    }

    /** From now on messages meet these conditions. */
    public void set(Conditions next) {
        conditions = next;
    }

    /** While it is cut messages are held; afterwards they arrive in order, also those whose sender has timed out. */
    public void cut(boolean on) {
        cut = on;
        if (!on) {
            List<Runnable> arriving = List.copyOf(held);
            held.clear();
            arriving.forEach(Runnable::run);
        }
    }

    /** A server's handler behind this link, which sees this name as the sender of what arrives. */
    public Consumer<HttpExchange> server(String from, Consumer<HttpExchange> handler) {
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

    /** A handler that passes requests on through this link and another client. */
    public Consumer<HttpExchange> forwarder(String address, HttpClient client, Duration limit) {
        return server(
                "",
                message -> client.call(address, request(message, limit), response -> {
                    if (response.outcome() == HttpResponse.Outcome.ANSWERED) {
                        message.respond(response.status(), response.body());
                    } else if (response.outcome() != HttpResponse.Outcome.UNKNOWN) {
                        message.respond(HttpStatus.SERVICE_UNAVAILABLE, new byte[0]);
                    }
                }));
    }

    /** A client whose requests go through this link. */
    public HttpClient client(HttpClient client) {
        return (address, request, callback) -> {
            Consumer<HttpResponse> once = once(callback);
            loop.after(request.timeout(), () -> once.accept(HttpResponse.unknown()));
            deliver(
                    SimulatedNetwork.Message.of("", request, once),
                    exchange -> client.call(
                            address,
                            request(exchange, request.timeout()),
                            ((SimulatedNetwork.Message) exchange).reply()));
        };
    }

    /** The callback for the first of a response, a repeated response and the timeout. */
    private static Consumer<HttpResponse> once(Consumer<HttpResponse> callback) {
        boolean[] finished = new boolean[1];
        return response -> {
            if (!finished[0]) {
                finished[0] = true;
                callback.accept(response);
            }
        };
    }

    private static HttpRequest request(HttpExchange exchange, Duration limit) {
        String path = exchange.query().isEmpty() ? exchange.path() : exchange.path() + "?" + exchange.query();
        return new HttpRequest(exchange.method(), path, exchange.body(), limit);
    }

    private void deliver(SimulatedNetwork.Message message, Consumer<HttpExchange> target) {
        if (cut) {
            held.add(() -> target.accept(message));
            return;
        }
        double chance = random.nextDouble();
        if (chance < conditions.lost()) {
            return;
        }
        chance -= conditions.lost();
        if (chance < conditions.unanswered()) {
            target.accept(unanswered(message));
            return;
        }
        chance -= conditions.unanswered();
        if (chance < conditions.late()) {
            deliverLater(message, target);
            return;
        }
        if (chance - conditions.late() < conditions.copied()) {
            deliverLater(message, target);
        }
        target.accept(slow(message));
    }

    private void deliverLater(SimulatedNetwork.Message message, Consumer<HttpExchange> target) {
        Duration delay =
                MIN_DELAY.plusMillis(random.nextLong(1 + conditions.latest().toMillis()));
        loop.after(delay, () -> target.accept(unanswered(message)));
    }

    private static SimulatedNetwork.Message unanswered(SimulatedNetwork.Message message) {
        return message.withReply(response -> {});
    }

    private SimulatedNetwork.Message slow(SimulatedNetwork.Message message) {
        if (random.nextDouble() >= conditions.slow()) {
            return message;
        }
        Duration delay = Duration.ofMillis(random.nextLong(conditions.slowest().toMillis()));
        return message.withReply(
                response -> loop.after(delay, () -> message.reply().accept(response)));
    }
}
