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
 * A simulated network. It delays messages, holds them back during a partition and delivers them afterwards, loses
 * responses, and occasionally delivers a request twice.
 */
public final class SimulatedNetwork {
    /** Probability that a client has an open connection from before a partition, over which it sends the request. */
    private static final double OPEN_CONNECTION_PROBABILITY = 0.7;

    private static final int MIN_LATENCY_NANOS = 300_000;
    private static final int LATENCY_RANGE_NANOS = 3_000_000;
    private static final int MAX_FAULT_DELAY_MS = 9000;
    private static final int MIN_COPY_DELAY_MS = 20;
    private static final int COPY_DELAY_RANGE_MS = 20_000;
    private static final int MIN_LATE_COPY_DELAY_MS = 500;
    private static final int MIN_REQUEST_DELAY_MS = 2000;
    private static final int REQUEST_DELAY_RANGE_MS = 14_000;
    private static final Duration RETRY_INTERVAL_DURING_CUT = Duration.ofMillis(500);

    private record Host(SimulatedTime.SimulatedProcess process, Consumer<HttpExchange> handler) {}

    /** A request in transit from a client to an address, with the callback for its response. */
    private record Delivery(
            String from,
            SimulatedTime.SimulatedProcess sender,
            String address,
            HttpRequest request,
            Consumer<HttpResponse> onResponse) {
        /** Returns a copy of the request to the given address whose response is dropped. */
        Delivery withoutResponse(String to) {
            return new Delivery(from, sender, to, request, response -> {});
        }
    }

    /** A fault that delivers a copy of a request to a random one of the addresses after a random delay. */
    private record LateCopies(PathFault fault, Duration maxDelay, List<String> addresses) {
        private static final LateCopies NONE = new LateCopies(PathFault.NONE, Duration.ZERO, List.of());
    }

    /** Is notified of every request that is sent, and of its response, failure or timeout. */
    public interface TrafficListener {
        TrafficListener NONE = new TrafficListener() {
            @Override
            public void sent(String from, String address, HttpRequest request) {}

            @Override
            public void completed(String from, String address, HttpResponse response) {}
        };

        void sent(String from, String address, HttpRequest request);

        void completed(String from, String address, HttpResponse response);
    }

    private final SimulatedTime time;
    private final SimulatedTime.SimulatedProcess networkProcess;
    private final RandomGenerator random;
    private final double faultShare;
    private final Map<String, Host> hosts = new HashMap<>();
    private final NetworkPartitions partitions = new NetworkPartitions();
    private TrafficListener trafficListener = TrafficListener.NONE;

    private final Set<String> heldClients = new HashSet<>();
    private final List<Delivery> heldRequests = new ArrayList<>();
    private LateCopies lateCopies = LateCopies.NONE;
    private PathFault copyRecording = PathFault.NONE;
    private final List<Delivery> recordedCopies = new ArrayList<>();
    private PathFault delayedRequests = PathFault.NONE;
    private String delayedResponsePath = "";
    private Duration responseDelay = Duration.ZERO;

    /** @param faultShare share of requests that are delayed, and share of requests that are delivered twice */
    public SimulatedNetwork(SimulatedTime time, RandomGenerator random, double faultShare) {
        this.time = time;
        this.networkProcess = time.newProcess();
        this.random = random;
        this.faultShare = faultShare;
    }

    public SimulatedTime time() {
        return time;
    }

    /** Sets the listener of all traffic. */
    public void observe(TrafficListener listener) {
        trafficListener = listener;
    }

    /** Registers the handler of requests to the address. */
    public void listen(String address, SimulatedTime.SimulatedProcess process, Consumer<HttpExchange> handler) {
        hosts.put(address, new Host(process, handler));
    }

    public void close(String address) {
        hosts.remove(address);
    }

    /**
     * Cuts requests from one party to another: they are held back or not sent, and their responses are dropped. A party
     * is an address, the name of a client, or {@code *} for all parties.
     */
    public void cut(String from, String to) {
        partitions.cut(from, to);
    }

    public void heal(String from, String to) {
        partitions.heal(from, to);
    }

    /**
     * Ends all faults except the random delays and duplicates. Requests held by {@link #holdRequests} are lost;
     * requests held back by a cut are delivered.
     */
    public void heal() {
        partitions.heal();
        heldClients.clear();
        heldRequests.clear();
        lateCopies = LateCopies.NONE;
        copyRecording = PathFault.NONE;
        recordedCopies.clear();
        delayedRequests = PathFault.NONE;
        responseDelay = Duration.ZERO;
    }

    /** Delays the responses to requests for exactly this path, ignoring the query. */
    public void delayResponses(String path, Duration delay) {
        delayedResponsePath = path;
        responseDelay = delay;
    }

    /** Drops all responses to this client while on; its requests still arrive. */
    public void dropResponses(String client, boolean on) {
        partitions.dropResponses(client, on);
    }

    /** Blocks all requests of this client while on; requests to its address are still answered. */
    public void blockOutbound(String client, boolean on) {
        partitions.blockOutbound(client, on);
    }

    /** Holds back all requests of this client until {@link #release}. The client gets no responses. */
    public void holdRequests(String client) {
        heldClients.add(client);
    }

    /**
     * Delivers the client's held requests to this address, each after a random latency and therefore in any order. The
     * client gets no responses to them.
     */
    public void release(String client, String address) {
        heldClients.remove(client);
        for (Delivery delivery : List.copyOf(heldRequests)) {
            if (delivery.from().equals(client)) {
                heldRequests.remove(delivery);
                deliver(delivery.withoutResponse(address), latency());
            }
        }
    }

    /**
     * Delivers a copy of this share of the requests for a path to a random one of the addresses, after 0.5 s and a
     * random time of up to {@code maxDelay}.
     */
    public void duplicateLate(double share, String path, Duration maxDelay, List<String> addresses) {
        lateCopies = new LateCopies(new PathFault(share, path), maxDelay, addresses);
    }

    /** Records a copy of this share of the requests for a path, for {@link #replayCopies}. */
    public void recordCopies(double share, String path) {
        copyRecording = new PathFault(share, path);
    }

    /** Delivers all recorded copies to each of these addresses. Their responses are dropped. */
    public void replayCopies(List<String> addresses) {
        for (Delivery copy : recordedCopies) {
            addresses.forEach(address -> deliver(copy.withoutResponse(address), latency()));
        }
        recordedCopies.clear();
    }

    /**
     * Delays this share of the requests for a path by 2 to 16 s. Each of them arrives once, and its sender gets no
     * response.
     */
    public void delayRequests(double share, String path) {
        delayedRequests = new PathFault(share, path);
    }

    /** Returns a client with this name whose callbacks run in the process. */
    public HttpClient client(String from, SimulatedTime.SimulatedProcess process) {
        return (address, request, callback) -> {
            trafficListener.sent(from, address, request);
            send(new Delivery(from, process, address, request, once(from, address, callback)));
        };
    }

    /** Returns a callback that passes on only the first call: a response, a failure or the timeout. */
    private Consumer<HttpResponse> once(String from, String address, Consumer<HttpResponse> callback) {
        boolean[] finished = new boolean[1];
        return response -> {
            if (!finished[0]) {
                finished[0] = true;
                trafficListener.completed(from, address, response);
                callback.accept(response);
            }
        };
    }

    private void send(Delivery delivery) {
        boolean hasOpenConnection = random.nextDouble() < OPEN_CONNECTION_PROBABILITY;
        Duration timeout = delivery.request().timeout();
        if (partitions.blocksOutbound(delivery.from())
                || (partitions.isCut(delivery.from(), delivery.address()) && !hasOpenConnection)) {
            delivery.sender().after(timeout, () -> delivery.onResponse().accept(HttpResponse.notSent()));
            return;
        }
        if (!hosts.containsKey(delivery.address())) {
            delivery.sender().after(latency(), () -> delivery.onResponse().accept(HttpResponse.notSent()));
            return;
        }
        delivery.sender().after(timeout, () -> delivery.onResponse().accept(HttpResponse.unknown()));
        if (heldClients.contains(delivery.from())) {
            heldRequests.add(delivery);
        } else if (delayedRequests.affects(delivery.request(), random)) {
            Duration delay = Duration.ofMillis(MIN_REQUEST_DELAY_MS + random.nextInt(REQUEST_DELAY_RANGE_MS));
            deliver(delivery.withoutResponse(delivery.address()), delay);
        } else {
            deliverWithCopies(delivery);
        }
    }

    private void deliverWithCopies(Delivery delivery) {
        if (copyRecording.affects(delivery.request(), random)) {
            recordedCopies.add(delivery);
        }
        Duration delay = latency();
        if (random.nextDouble() < faultShare) {
            delay = Duration.ofMillis(random.nextInt(MAX_FAULT_DELAY_MS));
        }
        deliver(delivery, delay);
        if (lateCopies.fault().affects(delivery.request(), random)) {
            String address = lateCopies
                    .addresses()
                    .get(random.nextInt(lateCopies.addresses().size()));
            long copyDelay = MIN_LATE_COPY_DELAY_MS
                    + random.nextLong(lateCopies.maxDelay().toMillis());
            deliver(delivery.withoutResponse(address), Duration.ofMillis(copyDelay));
        }
        if (random.nextDouble() < faultShare) {
            Duration copyDelay = Duration.ofMillis(MIN_COPY_DELAY_MS + random.nextInt(COPY_DELAY_RANGE_MS));
            deliver(delivery.withoutResponse(delivery.address()), copyDelay);
        }
    }

    private Duration latency() {
        return Duration.ofNanos(MIN_LATENCY_NANOS + random.nextInt(LATENCY_RANGE_NANOS));
    }

    private void deliver(Delivery delivery, Duration delay) {
        networkProcess.after(delay, () -> {
            if (partitions.isCut(delivery.from(), delivery.address())) {
                deliver(delivery, RETRY_INTERVAL_DURING_CUT);
                return;
            }
            Host host = hosts.get(delivery.address());
            if (host == null || host.process().killed()) {
                delivery.sender().execute(() -> delivery.onResponse().accept(HttpResponse.unknown()));
                return;
            }
            Message message = message(delivery);
            runInProcess(host.process(), () -> host.handler().accept(message));
        });
    }

    private Message message(Delivery delivery) {
        HttpRequest request = delivery.request();
        return Message.of(delivery.from(), request, response -> {
            boolean delayed = request.path().split("\\?", -1)[0].equals(delayedResponsePath);
            networkProcess.after(delayed ? responseDelay : Duration.ZERO, () -> respond(delivery, response));
        });
    }

    private void respond(Delivery delivery, HttpResponse response) {
        networkProcess.after(latency(), () -> {
            // A cut drops the response: if held back, it would arrive after the sender has timed out.
            if (!partitions.isCut(delivery.from(), delivery.address())
                    && !partitions.dropsResponses(delivery.from())
                    && !delivery.sender().killed()) {
                boolean fits = response.body().length <= delivery.request().maxResponseBytes();
                HttpResponse received = fits ? response : HttpResponse.tooLarge();
                runInProcess(delivery.sender(), () -> delivery.onResponse().accept(received));
            }
        });
    }

    /** Runs the task immediately, or when the process resumes if it is frozen. */
    private static void runInProcess(SimulatedTime.SimulatedProcess process, Runnable task) {
        if (process.isFrozen()) {
            process.execute(task);
        } else {
            task.run();
        }
    }

    /** One request on the simulated network, with the name of the client that sent it. */
    // Array equality is irrelevant: bodies are never compared.
    @SuppressWarnings("ArrayRecordComponent")
    public record Message(
            String from, String method, String path, String query, byte[] body, Consumer<HttpResponse> reply)
            implements HttpExchange {
        /** Creates the message that the receiver of the request gets. */
        static Message of(String from, HttpRequest request, Consumer<HttpResponse> reply) {
            int question = request.path().indexOf('?');
            String path = question < 0 ? request.path() : request.path().substring(0, question);
            String query = question < 0 ? "" : request.path().substring(question + 1);
            return new Message(from, request.method(), path, query, request.body(), reply);
        }

        /** Returns the same request with another callback for its response. */
        Message withReply(Consumer<HttpResponse> newReply) {
            return new Message(from, method, path, query, body, newReply);
        }

        @Override
        public void respond(int status, byte[] content) {
            reply.accept(HttpResponse.answered(status, content));
        }

        @Override
        public void reject(int status, Duration retryAfter) {
            // Simulated messages have no headers, so Retry-After is dropped.
            respond(status, new byte[0]);
        }
    }
}
