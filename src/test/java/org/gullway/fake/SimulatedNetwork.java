package org.gullway.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/**
 * A network that delays, holds messages back during cuts and delivers them afterwards, loses answers, and now and
 * then delivers a request a second time.
 */
public final class SimulatedNetwork {
    private record Host(SimulatedTime.Process process, Consumer<HttpExchange> handler) {}

    private record Held(String from, SimulatedTime.Process process, HttpRequest request) {}

    /** Sees every request as it is sent and every answer as it arrives. */
    public interface TrafficListener {
        TrafficListener NONE = new TrafficListener() {
            @Override
            public void sent(String from, String address, HttpRequest request) {}

            @Override
            public void answered(String from, String address, HttpResponse response) {}
        };

        void sent(String from, String address, HttpRequest request);

        void answered(String from, String address, HttpResponse response);
    }

    private final SimulatedTime time;
    private final SimulatedTime.Process wires;
    private final RandomGenerator random;
    private final double trouble;
    private TrafficListener traffic = TrafficListener.NONE;
    private final Map<String, Host> hosts = new HashMap<>();
    /** Pairs "from>to" of groups that cannot reach each other; a group is an address or a client's name. */
    private final Set<String> cuts = new HashSet<>();

    private final Set<String> unanswered = new HashSet<>();
    private final Set<String> mute = new HashSet<>();
    private final Set<String> heldBack = new HashSet<>();
    private final List<Held> held = new ArrayList<>();
    private String slowPath = "";
    private Duration slowBy = Duration.ZERO;
    private double copied;
    private String copiedPath;
    private Duration copiedLater;
    private List<String> copiedTo;
    private double keptShare;
    private String keptPath = "";
    private final List<Held> keptCopies = new ArrayList<>();
    private double heldUpShare;
    private String heldUpPath = "";

    /** @param trouble share of messages that are late, or repeated */
    public SimulatedNetwork(SimulatedTime time, RandomGenerator random, double trouble) {
        this.time = time;
        this.wires = time.process();
        this.random = random;
        this.trouble = trouble;
    }

    /** From now on the listener sees all traffic. */
    public void observe(TrafficListener listener) {
        traffic = listener;
    }

    public void listen(String address, SimulatedTime.Process process, Consumer<HttpExchange> handler) {
        hosts.put(address, new Host(process, handler));
    }

    public void close(String address) {
        hosts.remove(address);
    }

    public void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    public void heal() {
        cuts.clear();
        unanswered.clear();
        mute.clear();
        heldBack.clear();
        held.clear();
        copied = 0;
        keptShare = 0;
        keptCopies.clear();
        heldUpShare = 0;
        slowBy = Duration.ZERO;
    }

    public void heal(String from, String to) {
        cuts.remove(from + ">" + to);
    }

    /** Answers to requests for exactly this path, apart from its query, come so much later. */
    public void delayResponses(String path, Duration by) {
        slowPath = path;
        slowBy = by;
    }

    /** Requests of this client arrive, but no answer reaches it. */
    public void dropResponses(String client, boolean on) {
        if (on) {
            unanswered.add(client);
        } else {
            unanswered.remove(client);
        }
    }

    /** This client cannot open a connection to anybody, while requests to it are served and answered. */
    public void blockOutbound(String client, boolean on) {
        if (on) {
            mute.add(client);
        } else {
            mute.remove(client);
        }
    }

    /** Requests of this client are kept back until {@link #release}; it hears nothing of them. */
    public void holdRequests(String client) {
        heldBack.add(client);
    }

    /** What was held back arrives, in order, at this address; the client has long timed out and hears no answer. */
    public void release(String client, String address) {
        heldBack.remove(client);
        for (Held message : List.copyOf(held)) {
            if (message.from().equals(client)) {
                held.remove(message);
                deliver(client, message.process(), address, message.request(), response -> {}, latency());
            }
        }
    }

    /** From now on this share of the requests for a path is delivered again, up to so much later, to any of these. */
    public void duplicateLate(double share, String path, Duration most, List<String> addresses) {
        copied = share;
        copiedPath = path;
        copiedLater = most;
        copiedTo = addresses;
    }

    /** From now on a copy of this share of the requests for a path is kept until {@link #releaseCopies}. */
    public void recordCopies(double share, String path) {
        keptShare = share;
        keptPath = path;
    }

    /** All copies that were kept arrive at each of these addresses; nobody hears the answers. */
    public void replayCopies(List<String> addresses) {
        for (Held copy : keptCopies) {
            addresses.forEach(address ->
                    deliver(copy.from(), copy.process(), address, copy.request(), response -> {}, latency()));
        }
        keptCopies.clear();
    }

    /**
     * From now on this share of the requests for a path is held up on its way for 2 to 16 s: the sender hears nothing,
     * and the request arrives once.
     */
    public void delayRequests(double share, String path) {
        heldUpShare = share;
        heldUpPath = path;
    }

    private boolean isCut(String from, String to) {
        return cuts.contains(from + ">" + to) || cuts.contains(from + ">*") || cuts.contains("*>" + to);
    }

    public HttpClient client(String from, SimulatedTime.Process process) {
        return (address, request, callback) -> send(from, process, address, request, callback);
    }

    private void send(
            String from,
            SimulatedTime.Process process,
            String address,
            HttpRequest request,
            Consumer<HttpResponse> callback) {
        traffic.sent(from, address, request);
        boolean[] finished = new boolean[1];
        Consumer<HttpResponse> finish = response -> {
            if (!finished[0]) {
                finished[0] = true;
                traffic.answered(from, address, response);
                callback.accept(response);
            }
        };
        boolean keptConnection = random.nextDouble() < 0.7;
        if (mute.contains(from)) {
            process.after(request.timeout(), () -> finish.accept(HttpResponse.notSent()));
            return;
        }
        if (isCut(from, address) && !keptConnection) {
            process.after(request.timeout(), () -> finish.accept(HttpResponse.notSent()));
            return;
        }
        if (!hosts.containsKey(address)) {
            process.after(latency(), () -> finish.accept(HttpResponse.notSent()));
            return;
        }
        process.after(request.timeout(), () -> finish.accept(HttpResponse.unknown()));
        if (heldBack.contains(from)) {
            held.add(new Held(from, process, request));
            return;
        }
        if (heldUpShare > 0 && request.path().equals(heldUpPath) && random.nextDouble() < heldUpShare) {
            deliver(from, process, address, request, response -> {}, Duration.ofMillis(2000 + random.nextInt(14_000)));
            return;
        }
        if (keptShare > 0 && request.path().equals(keptPath) && random.nextDouble() < keptShare) {
            keptCopies.add(new Held(from, process, request));
        }
        Duration delay = latency();
        if (random.nextDouble() < trouble) {
            delay = Duration.ofMillis(random.nextInt(9000));
        }
        deliver(from, process, address, request, finish, delay);
        if (copied > 0 && request.path().equals(copiedPath) && random.nextDouble() < copied) {
            deliver(
                    from,
                    process,
                    copiedTo.get(random.nextInt(copiedTo.size())),
                    request,
                    response -> {},
                    Duration.ofMillis(500 + random.nextLong(copiedLater.toMillis())));
        }
        if (random.nextDouble() < trouble) {
            deliver(from, process, address, request, response -> {}, Duration.ofMillis(20 + random.nextInt(20_000)));
        }
    }

    private Duration latency() {
        return Duration.ofNanos(300_000 + random.nextInt(3_000_000));
    }

    private void deliver(
            String from,
            SimulatedTime.Process sender,
            String address,
            HttpRequest request,
            Consumer<HttpResponse> finish,
            Duration delay) {
        wires.after(delay, () -> {
            if (isCut(from, address)) {
                deliver(from, sender, address, request, finish, Duration.ofMillis(500));
                return;
            }
            Host host = hosts.get(address);
            if (host == null || host.process().killed()) {
                sender.execute(() -> finish.accept(HttpResponse.unknown()));
                return;
            }
            int question = request.path().indexOf('?');
            Message message = new Message(
                    from,
                    request.method(),
                    question < 0 ? request.path() : request.path().substring(0, question),
                    question < 0 ? "" : request.path().substring(question + 1),
                    request.body(),
                    response -> wires.after(
                            request.path().split("\\?")[0].equals(slowPath) ? slowBy : Duration.ZERO,
                            () -> answer(from, sender, address, finish, response)));
            if (host.process().isFrozen()) {
                host.process().execute(() -> host.handler().accept(message));
            } else {
                host.handler().accept(message);
            }
        });
    }

    private void answer(
            String from,
            SimulatedTime.Process sender,
            String address,
            Consumer<HttpResponse> finish,
            HttpResponse response) {
        wires.after(latency(), () -> {
            // An answer held back by a cut comes after the sender has timed out, which is the same as never.
            if (isCut(from, address) || unanswered.contains(from) || sender.killed()) {
                return;
            }
            if (sender.isFrozen()) {
                sender.execute(() -> finish.accept(response));
            } else {
                finish.accept(response);
            }
        });
    }

    /** One request on the simulated network, with the name of the client that sent it. */
    public record Message(
            String from, String method, String path, String query, byte[] body, Consumer<HttpResponse> reply)
            implements HttpExchange {
        @Override
        public void respond(int status, byte[] content) {
            reply.accept(HttpResponse.answered(status, content));
        }

        @Override
        public void reject(int status, Duration retryAfter) {
            respond(status, new byte[0]);
        }
    }

    public SimulatedTime time() {
        return time;
    }
}
