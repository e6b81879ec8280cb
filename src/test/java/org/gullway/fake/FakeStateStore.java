package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/** An in-memory state store that follows the state store protocol, with faults that tests can inject. */
public final class FakeStateStore {
    /** Limits of the state store's protocol: changes per second, changes per transaction, and bytes per value. */
    public static final int MAX_CHANGES_PER_SECOND = 30;

    public static final int MAX_CHANGES_PER_COMMIT = 24;
    public static final int MAX_VALUE_BYTES = 16 * 1024;

    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(20);
    private static final Duration DELAYED_COMMIT_RETRY = Duration.ofMillis(500);
    private static final String DEFAULT_PAGE_SIZE = "1000";

    private final EventLoop loop;
    private final StoreContents contents = new StoreContents();
    private final StoreLeases leases;
    private final StoreWatches watches;
    private final StoreFaults faults;
    private final CommitLimits limits;
    private final Map<String, Consumer<JsonNode>> listeners = new HashMap<>();

    public FakeStateStore(EventLoop loop) {
        this.loop = loop;
        this.faults = new StoreFaults(loop);
        this.limits = new CommitLimits(loop);
        this.leases = new StoreLeases(loop);
        this.watches = new StoreWatches(loop, contents, faults::serves);
        loop.every(EXPIRY_CHECK_INTERVAL, this::expire);
    }

    /**
     * Sets the current revision and the id of the last lease, as the 64 bits of unsigned numbers. To be called before the
     * first request.
     */
    public void startNumbersAt(long lastRevision, long lastLease) {
        contents.startRevisionsAt(lastRevision);
        leases.startIdsAt(lastLease);
    }

    /**
     * Starts or ends an outage. During an outage all requests are rejected and open watches stay open; at its end every
     * lease is renewed for its full duration.
     */
    public void setDown(boolean value) {
        faults.setDown(value);
        if (!value) {
            leases.renewAll();
            watches.answerDueWatches();
        }
    }

    /**
     * Rejects all requests of this client with 503 while on. Its open watches are not answered, and its leases expire.
     */
    public void rejectFrom(String client, boolean on) {
        faults.rejectFrom(client, on);
        if (!on) {
            watches.answerDueWatches();
        }
    }

    /**
     * Delays this share of the transactions: they get no response and are applied 2 to 12 s later, possibly after newer
     * transactions.
     */
    public void delayCommits(double share, RandomGenerator random) {
        faults.delayCommits(share, random);
    }

    /** Drops the responses of this share of the transactions, which are applied immediately. */
    public void dropResponses(double share, RandomGenerator random) {
        faults.dropResponses(share, random);
    }

    /**
     * Delays the next transaction that contains a matching change: it gets no response and is applied after the delay.
     */
    public void delayNextCommit(Predicate<JsonNode> change, Duration delay) {
        faults.delayNextCommit(change, delay);
    }

    /**
     * Delays the responses to requests that match the predicate on client and exchange. The requests are processed
     * immediately.
     */
    public void delayResponses(BiPredicate<String, HttpExchange> which, Duration delay) {
        faults.delayResponses(which, delay);
    }

    /** Delays each response by a random time below this number of milliseconds. */
    public void addLatency(int maxMillis, RandomGenerator random) {
        faults.addLatency(maxMillis, random);
    }

    /** Ends all faults, including an outage. */
    public void clearFaults() {
        faults.clear();
        setDown(false);
    }

    /** Sets a listener that is called with each value put under this key, when the transaction is applied. */
    public void onPut(String key, Consumer<JsonNode> listener) {
        listeners.put(key, listener);
    }

    /** Returns the value of the key, or null if the key does not exist. */
    public JsonNode value(String key) {
        StoreContents.Entry entry = contents.entry(key);
        return entry == null ? null : entry.value();
    }

    /**
     * Returns the number of changes in committed transactions to keys with this prefix, which has at most two segments.
     */
    public int changeCount(String prefix) {
        return limits.changeCount(prefix);
    }

    public int largestValueBytes() {
        return limits.largestValueBytes();
    }

    private void expire() {
        if (!faults.isDown()) {
            leases.expired().forEach(this::endLease);
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        if (contents.removeAttached(id)) {
            watches.answerDueWatches();
        }
    }

    /** Handles one request of the state store protocol. */
    public void handle(HttpExchange receivedExchange) {
        String client = receivedExchange instanceof SimulatedNetwork.Message message ? message.from() : "";
        HttpExchange exchange = faults.withDelay(client, receivedExchange);
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
                lease(exchange, path.split("/", -1));
            } else {
                exchange.respond(HttpStatus.NOT_FOUND, new byte[0]);
            }
        } catch (MalformedMessageException e) {
            exchange.respond(HttpStatus.BAD_REQUEST, new byte[0]);
        }
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> values = new HashMap<>();
        for (String part : query.split("&", -1)) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                values.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return values;
    }

    private void receiveCommit(HttpExchange exchange, ObjectNode body) {
        StoreFaults.CommitHandling handling = faults.handlingOf(body);
        if (handling.isDelayed()) {
            loop.after(handling.delay(), () -> commitDelayed(exchange, body));
        } else {
            commit(handling.answered() ? exchange : withoutResponse(exchange), body);
        }
    }

    /** Returns a copy of the exchange whose response does not reach the sender. */
    private static HttpExchange withoutResponse(HttpExchange exchange) {
        return new SimulatedNetwork.Message(
                "", exchange.method(), exchange.path(), exchange.query(), exchange.body(), response -> {});
    }

    private ObjectNode itemOf(String key, StoreContents.Entry entry) {
        ObjectNode node = Cbor.map().put("k", key);
        node.set("mark", UnsignedNumbers.node(entry.version()));
        node.set("v", entry.value());
        if (entry.lease() != 0) {
            node.set("tether", UnsignedNumbers.node(entry.lease()));
        }
        return node;
    }

    private void get(HttpExchange exchange, String key) {
        StoreContents.Entry entry = contents.entry(key);
        if (entry == null) {
            exchange.respond(HttpStatus.NOT_FOUND, Cbor.encode(revisionResponse()));
        } else {
            exchange.respond(HttpStatus.OK, Cbor.encode(itemOf(key, entry)));
        }
    }

    private void list(HttpExchange exchange, Map<String, String> query) {
        String prefix = query.getOrDefault("under", "");
        int page = Integer.parseInt(query.getOrDefault("page", DEFAULT_PAGE_SIZE));
        ObjectNode node = revisionResponse();
        ArrayNode items = node.putArray("items");
        boolean more = false;
        for (Map.Entry<String, StoreContents.Entry> entry : contents.entriesFrom(
                        query.getOrDefault("from", prefix), !query.containsKey("from"))
                .entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (items.size() == page) {
                more = true;
                break;
            }
            items.add(itemOf(entry.getKey(), entry.getValue()));
        }
        exchange.respond(HttpStatus.OK, Cbor.encode(node.put("more", more)));
    }

    /** Applies a delayed transaction, which gets no response. During an outage the transaction is delayed further. */
    private void commitDelayed(HttpExchange exchange, ObjectNode body) {
        if (faults.isDown()) {
            loop.after(DELAYED_COMMIT_RETRY, () -> commitDelayed(exchange, body));
        } else {
            commit(withoutResponse(exchange), body);
        }
    }

    private void commit(HttpExchange exchange, ObjectNode body) {
        int status = limits.admit(body);
        if (status == HttpStatus.BAD_REQUEST) {
            reject(exchange, "over a limit");
        } else if (status != HttpStatus.OK) {
            exchange.respond(status, new byte[0]);
        } else if (refersToUnknownLease(body)) {
            reject(exchange, "no such lease");
        } else {
            commitIfUnchanged(exchange, body);
        }
    }

    private static void reject(HttpExchange exchange, String reason) {
        exchange.respond(HttpStatus.BAD_REQUEST, Cbor.encode(Cbor.map().put("error", reason)));
    }

    private boolean refersToUnknownLease(ObjectNode body) {
        for (JsonNode change : body.path("then")) {
            if (change.has("tether") && !leases.exists(UnsignedNumbers.bits(change.path("tether")))) {
                return true;
            }
        }
        return false;
    }

    private void commitIfUnchanged(HttpExchange exchange, ObjectNode body) {
        List<String> failed = contents.failedConditions(body.path("guards"));
        if (!failed.isEmpty()) {
            ObjectNode failure = revisionResponse();
            failed.forEach(failure.putArray("failed")::add);
            exchange.respond(HttpStatus.CONFLICT, Cbor.encode(failure));
            return;
        }
        JsonNode changes = body.path("then");
        changes.forEach(change -> limits.count(StoreContents.keyOf(change)));
        contents.apply(changes);
        exchange.respond(HttpStatus.OK, Cbor.encode(revisionResponse()));
        watches.answerDueWatches();
        notifyListeners(changes);
    }

    private ObjectNode revisionResponse() {
        ObjectNode node = Cbor.map();
        node.set("logline", UnsignedNumbers.node(contents.revision()));
        return node;
    }

    private void notifyListeners(JsonNode changes) {
        for (JsonNode change : changes) {
            Consumer<JsonNode> listener = listeners.get(change.path("put").asText());
            if (listener != null) {
                listener.accept(change.path("v"));
            }
        }
    }

    private void watch(String client, HttpExchange exchange, Map<String, String> query) {
        Duration timeout = Duration.ofMillis(Long.parseLong(query.getOrDefault("block_ms", "0")));
        watches.open(
                client, query.getOrDefault("under", ""), Long.parseUnsignedLong(query.get("from")), timeout, exchange);
    }

    /** Handles /grants (grants a lease), /grants/id/renew (renews it) and /grants/id (ends it). */
    private void lease(HttpExchange exchange, String[] path) throws MalformedMessageException {
        if (path.length == 2) {
            long millis = Cbor.decode(exchange.body()).path("life_ms").asLong();
            respondLease(exchange, leases.grant(Duration.ofMillis(millis)));
            return;
        }
        long id = Long.parseUnsignedLong(path[2]);
        if (!leases.exists(id)) {
            exchange.respond(HttpStatus.NOT_FOUND, new byte[0]);
        } else if (path.length == 4) {
            leases.renew(id);
            respondLease(exchange, id);
        } else {
            endLease(id);
            exchange.respond(HttpStatus.OK, new byte[0]);
        }
    }

    private static void respondLease(HttpExchange exchange, long id) {
        exchange.respond(HttpStatus.OK, Cbor.encode(Cbor.map().set("tether", UnsignedNumbers.node(id))));
    }
}
