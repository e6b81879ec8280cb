package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;

/** The calls of the state store. A response that is not of the stated form counts as unknown. */
public final class StateStoreClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    /** The pause before a call that failed is repeated. */
    static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private static final int PAGE_SIZE = 500;

    private final HttpClient httpClient;
    private final String address;

    public StateStoreClient(HttpClient httpClient, String address) {
        this.httpClient = httpClient;
        this.address = address;
    }

    /**
     * Outcome of a call.
     *
     * @param kind whether the call was answered, and if not, whether it may have been carried out
     * @param status 0 unless the call was answered
     * @param body null unless the response came with a map
     */
    public record Outcome(HttpResponse.Outcome kind, int status, ObjectNode body) {
        private boolean hasStatus(int expected) {
            return kind == HttpResponse.Outcome.ANSWERED && status == expected;
        }

        /** Carried out, whether or not the response could be read. */
        public boolean isOk() {
            return hasStatus(HttpStatus.OK);
        }

        /** Carried out, and the response was read. */
        boolean isOkWithBody() {
            return isOk() && body != null;
        }

        /** Conditions of a transaction failed, and the response names them. */
        boolean isConflict() {
            return hasStatus(HttpStatus.CONFLICT) && body != null;
        }

        /** The key or the lease does not exist. */
        public boolean isNotFound() {
            return hasStatus(HttpStatus.NOT_FOUND);
        }

        /** The store no longer keeps the changes that a watch asked for. */
        boolean isGone() {
            return hasStatus(HttpStatus.GONE);
        }

        /** The request was malformed, or wrote on a lease that has expired. */
        boolean isBadRequest() {
            return hasStatus(HttpStatus.BAD_REQUEST);
        }

        boolean isRateLimited() {
            return hasStatus(HttpStatus.TOO_MANY_REQUESTS);
        }

        /** The request may have been carried out, or may be carried out later. */
        boolean isUnknown() {
            return switch (kind) {
                case ANSWERED -> !isConclusive();
                case NOT_SENT, NO_SOCKET -> false;
                case UNKNOWN -> true;
            };
        }

        private boolean isConclusive() {
            return switch (status) {
                case HttpStatus.OK -> body != null;
                case HttpStatus.BAD_REQUEST,
                        HttpStatus.NOT_FOUND,
                        HttpStatus.CONFLICT,
                        HttpStatus.GONE,
                        HttpStatus.TOO_MANY_REQUESTS,
                        HttpStatus.SERVICE_UNAVAILABLE -> true;
                default -> false;
            };
        }

        /** Revision of the store at which the response holds, or that of a single key; 0 if it names none. */
        public long revision() {
            return body == null ? 0 : body.path("logline").asLong(version(body));
        }

        /** The lease that was granted, or on which the key is held; only for outcomes with a body. */
        long lease() {
            return body.path("tether").asLong();
        }

        /** Whether the key that was read is held on a lease; only for outcomes with a body. */
        boolean hasLease() {
            return body.hasNonNull("tether");
        }

        /** The keys whose conditions failed; only for outcomes with a body. */
        Set<String> failedConditions() {
            Set<String> failed = new HashSet<>();
            body.path("failed").forEach(key -> failed.add(key.asText()));
            return failed;
        }
    }

    private void send(HttpRequest request, Consumer<Outcome> callback) {
        httpClient.call(
                address,
                request,
                response -> callback.accept(new Outcome(response.outcome(), response.status(), bodyOf(response))));
    }

    private static ObjectNode bodyOf(HttpResponse response) {
        if (response.outcome() != HttpResponse.Outcome.ANSWERED || response.body().length == 0) {
            return null;
        }
        try {
            return Cbor.decode(response.body());
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    /** Reads one key. */
    public void get(String key, Consumer<Outcome> callback) {
        send(HttpRequest.get("/store/" + key, TIMEOUT), callback);
    }

    /**
     * Reads one page of the keys with the prefix, in their order.
     *
     * @param after the page begins after this key; null for the first page
     */
    public void list(String prefix, String after, Consumer<Outcome> callback) {
        String from = after == null ? "" : "&from=" + after;
        send(HttpRequest.get("/store?under=" + prefix + from + "&page=" + PAGE_SIZE, TIMEOUT), callback);
    }

    /** Asks for the changes under the prefix after a revision; while there are none, the response takes {@code wait}. */
    public void watch(String prefix, long afterRevision, Duration wait, Consumer<Outcome> callback) {
        String path = "/watch?under=" + prefix + "&from=" + afterRevision + "&block_ms=" + wait.toMillis();
        send(HttpRequest.get(path, wait.plus(TIMEOUT)), callback);
    }

    /** Asks for a new lease. */
    public void grantLease(Duration duration, Consumer<Outcome> callback) {
        byte[] body = Cbor.encode(Cbor.map().put("life_ms", duration.toMillis()));
        send(HttpRequest.post("/grants", body, TIMEOUT), callback);
    }

    /** Extends a lease by its duration. */
    public void renewLease(long lease, Duration timeout, Consumer<Outcome> callback) {
        send(HttpRequest.post("/grants/" + lease + "/renew", Cbor.encode(Cbor.map()), timeout), callback);
    }

    /** Ends a lease at once, with the keys that are held on it. */
    public void revokeLease(long lease, Consumer<Outcome> callback) {
        send(HttpRequest.delete("/grants/" + lease, TIMEOUT), callback);
    }

    /**
     * Applies the changes if the keys of all conditions have the given versions.
     *
     * @param versionOf the expected version of a condition's key; 0 if it must not exist
     * @param changes keys with their new values; null removes the key
     * @param lease holds the member key and the leader key, if they are written
     */
    public void commit(
            Collection<String> conditions,
            ToLongFunction<String> versionOf,
            Map<String, ? extends StoreRecord> changes,
            long lease,
            Consumer<Outcome> callback) {
        ObjectNode transaction = Cbor.map();
        ArrayNode guards = transaction.putArray("guards");
        for (String key : conditions) {
            guards.addObject().put("k", key).put("mark", versionOf.applyAsLong(key));
        }
        ArrayNode then = transaction.putArray("then");
        changes.forEach((key, value) -> addChange(then.addObject(), key, value, lease));
        send(HttpRequest.post("/commit", Cbor.encode(transaction), TIMEOUT), callback);
    }

    private static void addChange(ObjectNode change, String key, StoreRecord value, long lease) {
        if (value == null) {
            change.put("remove", key);
            return;
        }
        change.put("put", key);
        change.set("v", RecordCodec.encode(value));
        if (isHeldOnLease(key)) {
            change.put("tether", lease);
        }
    }

    /** Whether a key is written on the writer's lease, and so goes with its membership. */
    private static boolean isHeldOnLease(String key) {
        return key.startsWith(StoreKeys.MEMBERS) || key.equals(StoreKeys.LEADER);
    }

    /** The version of a key, from an item of a list, an event of a watch, or the response to a read of it. */
    static long version(JsonNode item) {
        return item.path("mark").asLong();
    }
}
