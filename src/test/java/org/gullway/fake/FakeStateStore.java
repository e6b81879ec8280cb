package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;

/** The state service as its protocol describes it, in memory. */
public final class FakeStateStore {
    private record Entry(JsonNode value, long version, long lease) {}

    private record Event(String key, JsonNode value, long version) {}

    private static final class Watch {
        private final String client;
        private final String prefix;
        private final long from;
        private final HttpExchange exchange;
        private Runnable cancelTimer = () -> {};
        private boolean timedOut;

        Watch(String client, String prefix, long from, HttpExchange exchange) {
            this.client = client;
            this.prefix = prefix;
            this.from = from;
            this.exchange = exchange;
        }
    }

    /** An exchange whose response comes later; what it asks for is done at once. */
    private static final class LateExchange extends ForwardingExchange {
        private final EventLoop loop;
        private final Duration delay;

        LateExchange(EventLoop loop, HttpExchange exchange, Duration delay) {
            super(exchange);
            this.loop = loop;
            this.delay = delay;
        }

        @Override
        public void respond(int status, byte[] content) {
            loop.after(delay, () -> super.respond(status, content));
        }

        @Override
        public void reject(int status, Duration retryAfter) {
            loop.after(delay, () -> super.reject(status, retryAfter));
        }
    }

    private static final class Lease {
        private Duration life;
        private Instant end;
    }

    private final EventLoop loop;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long nextLease;
    private boolean down;
    private final Set<String> refused = new HashSet<>();
    private double lateShare;
    private RandomGenerator lateRandom;
    private double lostShare;
    private RandomGenerator lostRandom;
    private Predicate<JsonNode> heldUp;
    private Duration heldUpBy;
    private BiPredicate<String, HttpExchange> answeredLate = (client, exchange) -> false;
    private Duration answeredLateBy = Duration.ZERO;
    private final Map<String, Consumer<JsonNode>> listeners = new HashMap<>();
    private int slowMillis;
    private RandomGenerator slowRandom;
    /** Changes by the first two parts of their keys, such as live/jobs. */
    private final Map<String, Integer> changes = new TreeMap<>();

    private int largestValue;
    private double tokens;
    private Instant tokensAt;

    /** Limits of the settings; what goes over them is refused. */
    public static final int CHANGES_PER_SECOND = 30;

    public static final int CHANGES_PER_COMMIT = 24;
    public static final int VALUE_BYTES = 16 * 1024;

    public FakeStateStore(EventLoop loop) {
        this.loop = loop;
        this.tokens = CHANGES_PER_SECOND;
        this.tokensAt = loop.now();
        loop.every(Duration.ofMillis(20), this::expire);
    }

    /** In an outage everything is refused, open watches stay open; afterwards leases have their full time again. */
    public void setDown(boolean value) {
        down = value;
        if (!value) {
            leases.values().forEach(lease -> lease.end = loop.now().plus(lease.life));
            wake();
        }
    }

    /** This client alone gets 503 to everything; its open watches wait, and its leases run out. */
    public void rejectFrom(String client, boolean on) {
        if (on) {
            refused.add(client);
        } else {
            refused.remove(client);
            wake();
        }
    }

    /** This share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones. */
    public void applyLate(double share, RandomGenerator random) {
        lateShare = share;
        lateRandom = random;
    }

    /** This share of transactions is carried out at once, and only its answer is lost. */
    public void dropResponses(double share, RandomGenerator random) {
        lostShare = share;
        lostRandom = random;
    }

    /** The next transaction with a change of which this holds gets no answer and is carried out so much later. */
    public void delayNextCommit(Predicate<JsonNode> change, Duration by) {
        heldUp = change;
        heldUpBy = by;
    }

    /** From now on the answers to these calls, by client and call, come so much later; what they ask for is done at once. */
    public void delayResponses(BiPredicate<String, HttpExchange> which, Duration by) {
        answeredLate = which;
        answeredLateBy = by;
    }

    /** Is told of every value that is put under this key, at that very moment. */
    public void onPut(String key, Consumer<JsonNode> listener) {
        listeners.put(key, listener);
    }

    /** Answers come up to so many milliseconds late, each by another time. */
    public void addLatency(int mostMillis, RandomGenerator random) {
        slowMillis = mostMillis;
        slowRandom = random;
    }

    /** Everything is served as usual again. */
    public void restore() {
        refused.clear();
        lateShare = 0;
        lostShare = 0;
        heldUp = null;
        slowMillis = 0;
        answeredLate = (client, exchange) -> false;
        setDown(false);
    }

    private boolean serves(String client) {
        return !down && !refused.contains(client);
    }

    public JsonNode value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    /** How often keys of this prefix were put or removed. */
    public int changes(String prefix) {
        return changes.entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    public int largestValue() {
        return largestValue;
    }

    /** Whether the commit keeps the limits of the protocol; if not it is answered here. */
    private boolean keepsLimits(HttpExchange exchange, ObjectNode body) {
        boolean valid = body.path("then").size() <= CHANGES_PER_COMMIT
                && body.path("guards").size() <= 4 * CHANGES_PER_COMMIT
                && body.toString().length() <= 64 * 1024;
        for (JsonNode change : body.path("then")) {
            int bytes = change.path("v").toString().length();
            largestValue = Math.max(largestValue, bytes);
            valid &= bytes <= VALUE_BYTES;
        }
        if (!valid) {
            exchange.respond(400, Cbor.encode(Cbor.map().put("error", "over a limit")));
            return false;
        }
        tokens = Math.min(
                CHANGES_PER_SECOND,
                tokens + Duration.between(tokensAt, loop.now()).toMillis() / 1000.0 * CHANGES_PER_SECOND);
        tokensAt = loop.now();
        if (tokens < body.path("then").size()) {
            exchange.respond(429, new byte[0]);
            return false;
        }
        tokens -= body.path("then").size();
        return true;
    }

    private void expire() {
        if (down) {
            return;
        }
        List<Long> over = leases.entrySet().stream()
                .filter(e -> !loop.now().isBefore(e.getValue().end))
                .map(Map.Entry::getKey)
                .toList();
        over.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = entries.entrySet().stream()
                .filter(e -> e.getValue().lease() == id)
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            for (String key : keys) {
                entries.remove(key);
                history.add(new Event(key, null, revision));
            }
            wake();
        }
    }

    public void handle(HttpExchange received) {
        String client = received instanceof SimulatedNetwork.Message message ? message.from() : "";
        HttpExchange exchange = delayed(client, received);
        if (!serves(client)) {
            exchange.respond(503, new byte[0]);
            return;
        }
        String path = exchange.path();
        Map<String, String> query = new HashMap<>();
        for (String part : exchange.query().split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        try {
            if (path.equals("/store")) {
                list(exchange, query);
            } else if (path.startsWith("/store/")) {
                get(exchange, path.substring("/store/".length()));
            } else if (path.equals("/commit")) {
                receiveCommit(exchange, Cbor.decode(exchange.body()));
            } else if (path.equals("/watch")) {
                watch(client, exchange, query);
            } else if (path.startsWith("/grants")) {
                lease(exchange, path.split("/"));
            } else {
                exchange.respond(404, new byte[0]);
            }
        } catch (MalformedMessageException e) {
            exchange.respond(400, new byte[0]);
        }
    }

    private HttpExchange delayed(String client, HttpExchange received) {
        if (answeredLate.test(client, received)) {
            return new LateExchange(loop, received, answeredLateBy);
        }
        return slowMillis == 0
                ? received
                : new LateExchange(loop, received, Duration.ofMillis(slowRandom.nextInt(slowMillis)));
    }

    private void receiveCommit(HttpExchange exchange, ObjectNode body) {
        if (heldUp != null && anyChange(body, heldUp)) {
            heldUp = null;
            loop.after(heldUpBy, () -> commitLate(exchange, body));
        } else if (lateShare > 0 && lateRandom.nextDouble() < lateShare) {
            loop.after(Duration.ofMillis(2000 + lateRandom.nextInt(10_000)), () -> commitLate(exchange, body));
        } else if (lostShare > 0 && lostRandom.nextDouble() < lostShare) {
            commit(unanswered(exchange), body);
        } else {
            commit(exchange, body);
        }
    }

    private static boolean anyChange(ObjectNode body, Predicate<JsonNode> which) {
        for (JsonNode change : body.path("then")) {
            if (which.test(change)) {
                return true;
            }
        }
        return false;
    }

    /** The same call, of which no answer reaches its sender. */
    private static HttpExchange unanswered(HttpExchange exchange) {
        return new SimulatedNetwork.Message(
                "", exchange.method(), exchange.path(), exchange.query(), exchange.body(), response -> {});
    }

    private ObjectNode item(String key, Entry entry) {
        ObjectNode node = Cbor.map().put("k", key).put("mark", entry.version());
        node.set("v", entry.value());
        if (entry.lease() != 0) {
            node.put("tether", entry.lease());
        }
        return node;
    }

    private void get(HttpExchange exchange, String key) {
        Entry entry = entries.get(key);
        if (entry == null) {
            exchange.respond(404, Cbor.encode(Cbor.map().put("logline", revision)));
        } else {
            exchange.respond(200, Cbor.encode(item(key, entry)));
        }
    }

    private void list(HttpExchange exchange, Map<String, String> query) {
        String prefix = query.getOrDefault("under", "");
        int page = Integer.parseInt(query.getOrDefault("page", "1000"));
        ObjectNode node = Cbor.map().put("logline", revision);
        ArrayNode items = node.putArray("items");
        boolean more = false;
        for (Map.Entry<String, Entry> e : entries.tailMap(
                        query.getOrDefault("from", prefix), !query.containsKey("from"))
                .entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (items.size() == page) {
                more = true;
                break;
            }
            items.add(item(e.getKey(), e.getValue()));
        }
        exchange.respond(200, Cbor.encode(node.put("more", more)));
    }

    /** Carries out a transaction that nobody waits for any more; an outage holds it up further. */
    private void commitLate(HttpExchange exchange, ObjectNode body) {
        if (down) {
            loop.after(Duration.ofMillis(500), () -> commitLate(exchange, body));
        } else {
            commit(unanswered(exchange), body);
        }
    }

    private void commit(HttpExchange exchange, ObjectNode body) {
        if (!keepsLimits(exchange, body)) {
            return;
        }
        ObjectNode failure = Cbor.map();
        ArrayNode failed = failure.putArray("failed");
        for (JsonNode guard : body.path("guards")) {
            Entry entry = entries.get(guard.path("k").asText());
            if ((entry == null ? 0 : entry.version()) != guard.path("mark").asLong()) {
                failed.add(guard.path("k").asText());
            }
        }
        for (JsonNode change : body.path("then")) {
            if (change.has("tether")
                    && !leases.containsKey(change.path("tether").asLong())) {
                exchange.respond(400, Cbor.encode(Cbor.map().put("error", "no such lease")));
                return;
            }
        }
        if (!failed.isEmpty()) {
            exchange.respond(409, Cbor.encode(failure.put("logline", revision)));
            return;
        }
        if (!body.path("then").isEmpty()) {
            revision++;
            for (JsonNode change : body.path("then")) {
                String[] parts = (change.has("remove") ? change.path("remove") : change.path("put"))
                        .asText()
                        .split("/");
                changes.merge(parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0], 1, Integer::sum);
                if (change.has("remove")) {
                    if (entries.remove(change.path("remove").asText()) != null) {
                        history.add(new Event(change.path("remove").asText(), null, revision));
                    }
                } else {
                    String key = change.path("put").asText();
                    entries.put(
                            key,
                            new Entry(
                                    change.path("v"),
                                    revision,
                                    change.path("tether").asLong()));
                    history.add(new Event(key, change.path("v"), revision));
                }
            }
        }
        exchange.respond(200, Cbor.encode(Cbor.map().put("logline", revision)));
        wake();
        notifyListeners(body);
    }

    private void notifyListeners(ObjectNode body) {
        for (JsonNode change : body.path("then")) {
            Consumer<JsonNode> listener = listeners.get(change.path("put").asText());
            if (listener != null) {
                listener.accept(change.path("v"));
            }
        }
    }

    private void watch(String client, HttpExchange exchange, Map<String, String> query) {
        String prefix = query.getOrDefault("under", "");
        long from = Long.parseLong(query.get("from"));
        Duration wait = Duration.ofMillis(Long.parseLong(query.getOrDefault("block_ms", "0")));
        Watch watch = new Watch(client, prefix, from, exchange);
        watch.cancelTimer = loop.after(wait, () -> {
            watch.timedOut = true;
            wake();
        });
        watches.add(watch);
        wake();
    }

    private boolean pending(Watch watch) {
        for (int i = history.size() - 1; i >= 0 && history.get(i).version() > watch.from; i--) {
            if (history.get(i).key().startsWith(watch.prefix)) {
                return true;
            }
        }
        return false;
    }

    private void answer(Watch watch) {
        ObjectNode node = Cbor.map().put("logline", revision);
        ArrayNode events = node.putArray("events");
        int first = history.size();
        while (first > 0 && history.get(first - 1).version() > watch.from) {
            first--;
        }
        for (Event event : history.subList(first, history.size())) {
            if (event.key().startsWith(watch.prefix)) {
                ObjectNode e = events.addObject().put("mark", event.version());
                if (event.value() == null) {
                    e.put("remove", event.key());
                } else {
                    e.put("put", event.key()).set("v", event.value());
                }
            }
        }
        watch.exchange.respond(200, Cbor.encode(node));
    }

    private void wake() {
        for (Watch watch : List.copyOf(watches)) {
            if (serves(watch.client) && (watch.timedOut || pending(watch))) {
                watches.remove(watch);
                watch.cancelTimer.run();
                answer(watch);
            }
        }
    }

    private void lease(HttpExchange exchange, String[] parts) throws MalformedMessageException {
        if (parts.length == 2) {
            Lease lease = new Lease();
            lease.life = Duration.ofMillis(
                    Cbor.decode(exchange.body()).path("life_ms").asLong());
            lease.end = loop.now().plus(lease.life);
            leases.put(++nextLease, lease);
            exchange.respond(200, Cbor.encode(Cbor.map().put("tether", nextLease)));
            return;
        }
        Lease lease = leases.get(Long.parseLong(parts[2]));
        if (lease == null) {
            exchange.respond(404, new byte[0]);
        } else if (parts.length == 4) {
            lease.end = loop.now().plus(lease.life);
            exchange.respond(200, Cbor.encode(Cbor.map().put("tether", Long.parseLong(parts[2]))));
        } else {
            endLease(Long.parseLong(parts[2]));
            exchange.respond(200, new byte[0]);
        }
    }
}
