package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/** The state store as its protocol describes it, in memory. */
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
    private final StoreFaults faults;
    private final CommitLimits limits;
    private final Map<String, Consumer<JsonNode>> listeners = new HashMap<>();

    /** Limits of the settings; what goes over them is refused. */
    public static final int CHANGES_PER_SECOND = 30;

    public static final int CHANGES_PER_COMMIT = 24;
    public static final int VALUE_BYTES = 16 * 1024;

    public FakeStateStore(EventLoop loop) {
        this.loop = loop;
        this.faults = new StoreFaults(loop);
        this.limits = new CommitLimits(loop);
        loop.every(Duration.ofMillis(20), this::expire);
    }

    /** In an outage everything is rejected, open watches stay open; afterwards leases have their full time again. */
    public void setDown(boolean value) {
        faults.setDown(value);
        if (!value) {
            leases.values().forEach(lease -> lease.end = loop.now().plus(lease.life));
            wake();
        }
    }

    /** This client alone gets 503 to everything; its open watches wait, and its leases expire. */
    public void rejectFrom(String client, boolean on) {
        faults.rejectFrom(client, on);
        if (!on) {
            wake();
        }
    }

    /** This share of transactions gets no response and is applied 2 to 12 s later, after newer ones. */
    public void applyLate(double share, RandomGenerator random) {
        faults.applyLate(share, random);
    }

    /** This share of transactions is applied at once, and only its response is lost. */
    public void dropResponses(double share, RandomGenerator random) {
        faults.dropResponses(share, random);
    }

    /** The next transaction with a change of which this holds gets no response and is applied after the delay. */
    public void delayNextCommit(Predicate<JsonNode> change, Duration delay) {
        faults.delayNextCommit(change, delay);
    }

    /** From now on the responses to these requests, by client and exchange, are delayed; what they ask for is done at once. */
    public void delayResponses(BiPredicate<String, HttpExchange> which, Duration delay) {
        faults.delayResponses(which, delay);
    }

    /** Responses come up to so many milliseconds late, each by another time. */
    public void addLatency(int mostMillis, RandomGenerator random) {
        faults.addLatency(mostMillis, random);
    }

    /** Everything is served as usual again. */
    public void restore() {
        faults.clear();
        setDown(false);
    }

    /** Is given every value that is put under this key, at that very moment. */
    public void onPut(String key, Consumer<JsonNode> listener) {
        listeners.put(key, listener);
    }

    public JsonNode value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    /** How often keys of this prefix were put or removed. */
    public int changes(String prefix) {
        return limits.changes(prefix);
    }

    public int largestValue() {
        return limits.largestValue();
    }

    private void expire() {
        if (faults.isDown()) {
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
        HttpExchange exchange = faults.delayed(client, received);
        if (!faults.serves(client)) {
            exchange.respond(HttpStatus.SERVICE_UNAVAILABLE, new byte[0]);
            return;
        }
        String path = exchange.path();
        Map<String, String> query = parse(exchange.query());
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
                exchange.respond(HttpStatus.NOT_FOUND, new byte[0]);
            }
        } catch (MalformedMessageException e) {
            exchange.respond(HttpStatus.BAD_REQUEST, new byte[0]);
        }
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> values = new HashMap<>();
        for (String part : query.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                values.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return values;
    }

    private void receiveCommit(HttpExchange exchange, ObjectNode body) {
        StoreFaults.CommitFate fate = faults.fateOf(body);
        if (fate.isLate()) {
            loop.after(fate.delay(), () -> commitLate(exchange, body));
        } else {
            commit(fate.answered() ? exchange : unanswered(exchange), body);
        }
    }

    /** The same exchange, of which no response reaches the sender. */
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
            exchange.respond(HttpStatus.NOT_FOUND, Cbor.encode(Cbor.map().put("logline", revision)));
        } else {
            exchange.respond(HttpStatus.OK, Cbor.encode(item(key, entry)));
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
        exchange.respond(HttpStatus.OK, Cbor.encode(node.put("more", more)));
    }

    /** Applies a transaction that nobody waits for any more; an outage delays it further. */
    private void commitLate(HttpExchange exchange, ObjectNode body) {
        if (faults.isDown()) {
            loop.after(Duration.ofMillis(500), () -> commitLate(exchange, body));
        } else {
            commit(unanswered(exchange), body);
        }
    }

    private void commit(HttpExchange exchange, ObjectNode body) {
        int status = limits.check(body);
        if (status == HttpStatus.BAD_REQUEST) {
            reject(exchange, "over a limit");
        } else if (status != HttpStatus.OK) {
            exchange.respond(status, new byte[0]);
        } else if (namesUnknownLease(body)) {
            reject(exchange, "no such lease");
        } else {
            commitIfUnchanged(exchange, body);
        }
    }

    private static void reject(HttpExchange exchange, String reason) {
        exchange.respond(HttpStatus.BAD_REQUEST, Cbor.encode(Cbor.map().put("error", reason)));
    }

    private boolean namesUnknownLease(ObjectNode body) {
        for (JsonNode change : body.path("then")) {
            if (change.has("tether")
                    && !leases.containsKey(change.path("tether").asLong())) {
                return true;
            }
        }
        return false;
    }

    private void commitIfUnchanged(HttpExchange exchange, ObjectNode body) {
        ObjectNode failure = Cbor.map();
        ArrayNode failed = failure.putArray("failed");
        for (JsonNode condition : body.path("guards")) {
            Entry entry = entries.get(condition.path("k").asText());
            if ((entry == null ? 0 : entry.version()) != condition.path("mark").asLong()) {
                failed.add(condition.path("k").asText());
            }
        }
        if (!failed.isEmpty()) {
            exchange.respond(HttpStatus.CONFLICT, Cbor.encode(failure.put("logline", revision)));
            return;
        }
        if (!body.path("then").isEmpty()) {
            revision++;
            body.path("then").forEach(this::apply);
        }
        exchange.respond(HttpStatus.OK, Cbor.encode(Cbor.map().put("logline", revision)));
        wake();
        notifyListeners(body);
    }

    private void apply(JsonNode change) {
        if (change.has("remove")) {
            String key = change.path("remove").asText();
            limits.count(key);
            if (entries.remove(key) != null) {
                history.add(new Event(key, null, revision));
            }
            return;
        }
        String key = change.path("put").asText();
        limits.count(key);
        JsonNode value = change.path("v");
        entries.put(key, new Entry(value, revision, change.path("tether").asLong()));
        history.add(new Event(key, value, revision));
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
        watch.exchange.respond(HttpStatus.OK, Cbor.encode(node));
    }

    private void wake() {
        for (Watch watch : List.copyOf(watches)) {
            if (faults.serves(watch.client) && (watch.timedOut || pending(watch))) {
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
            exchange.respond(HttpStatus.OK, Cbor.encode(Cbor.map().put("tether", nextLease)));
            return;
        }
        Lease lease = leases.get(Long.parseLong(parts[2]));
        if (lease == null) {
            exchange.respond(HttpStatus.NOT_FOUND, new byte[0]);
        } else if (parts.length == 4) {
            lease.end = loop.now().plus(lease.life);
            exchange.respond(HttpStatus.OK, Cbor.encode(Cbor.map().put("tether", Long.parseLong(parts[2]))));
        } else {
            endLease(Long.parseLong(parts[2]));
            exchange.respond(HttpStatus.OK, new byte[0]);
        }
    }
}
