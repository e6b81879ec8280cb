package org.gullway.storage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Count;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client for the HTTP API of the state store. Every call leads to exactly one call of its callback, also if the request
 * cannot be encoded: callers wait for the outcome before they send the next request. The outcome of a request counts as
 * unknown if the request may have been sent but has no response, or if its response has an unexpected status, or status
 * 200 without a readable body.
 */
public final class StateStoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateStoreClient.class);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    /** Delay after which callers repeat a failed request. */
    static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private static final int PAGE_SIZE = 500;
    /** The store's limit for one page of a list. */
    private static final int MAX_PAGE_BYTES = 512 * 1024;
    /** Beyond this size it takes less memory to read all keys page by page than the changes in one response. */
    static final int MAX_WATCH_RESPONSE_BYTES = 4 * MAX_PAGE_BYTES;

    private final HttpClient httpClient;
    private final String address;

    public StateStoreClient(HttpClient httpClient, String address) {
        this.httpClient = httpClient;
        this.address = address;
    }

    /**
     * Outcome of a request.
     *
     * @param httpOutcome whether the request was answered, and if not, whether it may have been carried out
     * @param status HTTP status; 0 if the request was not answered
     * @param body decoded body of the response; null if the response has no body, or one that is not a CBOR map or has
     *     an invalid revision, version or lease
     * @param counts the revision and the lease in the body
     * @param isEncodable false if the request could not be encoded, so that nothing was sent
     */
    public record Outcome(
            HttpResponse.Outcome httpOutcome, int status, ObjectNode body, ResponseCounts counts, boolean isEncodable) {
        private static final Outcome NOT_ENCODABLE =
                new Outcome(HttpResponse.Outcome.NOT_SENT, 0, null, ResponseCounts.NONE, false);

        private static Outcome of(HttpResponse response, String requiredCount) {
            ObjectNode body = null;
            ResponseCounts counts = ResponseCounts.NONE;
            if (response.outcome() == HttpResponse.Outcome.ANSWERED && response.body().length > 0) {
                try {
                    ObjectNode decoded = Cbor.decodeLeniently(response.body());
                    counts = ResponseCounts.parse(decoded, hasResult(response.status()) ? requiredCount : null);
                    body = decoded;
                } catch (MalformedMessageException e) {
                    LOG.error(
                            "ignored the body of a response of the state store status={} error=\"{}\"",
                            response.status(),
                            e.getMessage());
                }
            }
            return new Outcome(response.outcome(), response.status(), body, counts, true);
        }

        private static boolean hasResult(int status) {
            return status == HttpStatus.OK || status == HttpStatus.CONFLICT;
        }

        private boolean hasStatus(int expected) {
            return httpOutcome == HttpResponse.Outcome.ANSWERED && status == expected;
        }

        /** Returns true if the request was carried out, whether or not the response has a readable body. */
        public boolean isOk() {
            return hasStatus(HttpStatus.OK);
        }

        /** Returns true if the request was carried out and the response has a readable body. */
        public boolean isOkWithBody() {
            return isOk() && body != null;
        }

        /** Returns true if conditions of a transaction failed and the response has a readable body that names them. */
        boolean isConflict() {
            return hasStatus(HttpStatus.CONFLICT) && body != null;
        }

        /** Returns true if the key or the lease does not exist. */
        public boolean isNotFound() {
            return hasStatus(HttpStatus.NOT_FOUND);
        }

        /** Returns true if the store no longer retains the changes that a watch requested. */
        boolean isGone() {
            return hasStatus(HttpStatus.GONE);
        }

        /** Returns true if the response was dropped because of its size. */
        boolean isTooLarge() {
            return httpOutcome == HttpResponse.Outcome.TOO_LARGE;
        }

        /** Returns true if the request was malformed, or tried to write a key on an expired lease. */
        boolean isBadRequest() {
            return hasStatus(HttpStatus.BAD_REQUEST);
        }

        boolean isRateLimited() {
            return hasStatus(HttpStatus.TOO_MANY_REQUESTS);
        }

        /**
         * Returns true if the request may have been carried out, or may still be carried out later. This includes
         * status 200 without a readable body, for which {@link #isOk()} returns true as well.
         */
        boolean isUnknown() {
            return switch (httpOutcome) {
                case ANSWERED -> !isConclusive();
                case NOT_SENT, NO_SOCKET -> false;
                case TOO_LARGE, UNKNOWN -> true;
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

        /**
         * Returns the revision of the store at which the request was carried out or, for a read of a single key, the
         * version of the key, which is the revision at which the key was last written; zero if the response contains
         * neither.
         */
        public Count revision() {
            return counts.revision();
        }

        /** Returns the ID of the lease that was granted, or on which the key is held. Requires a body. */
        Count leaseId() {
            return counts.leaseId();
        }

        /** Returns true if the key that was read is held on a lease. */
        boolean hasLease() {
            return counts.leaseId() != null;
        }

        /** Returns the keys whose conditions failed. Requires a body. */
        Set<String> failedConditions() {
            Set<String> failed = new HashSet<>();
            body.path("failed").forEach(key -> failed.add(key.asText()));
            return failed;
        }
    }

    /** @param requiredCount name of the number that a response with a result must have; null if it need not have any */
    private void send(HttpRequest request, String requiredCount, Consumer<Outcome> callback) {
        httpClient.call(address, request, response -> callback.accept(Outcome.of(response, requiredCount)));
    }

    /** Reads a single key. */
    public void get(String key, Consumer<Outcome> callback) {
        send(HttpRequest.get("/store/" + key, REQUEST_TIMEOUT), null, callback);
    }

    /**
     * Reads one page of the keys with the prefix, in key order.
     *
     * @param after key after which the page begins; null for the first page
     */
    public void list(String prefix, String after, Consumer<Outcome> callback) {
        String from = after == null ? "" : "&from=" + after;
        String path = "/store?under=" + prefix + from + "&page=" + PAGE_SIZE;
        send(HttpRequest.get(path, REQUEST_TIMEOUT), ResponseCounts.REVISION, callback);
    }

    /**
     * Requests the changes under the prefix after a revision. The store responds as soon as there are changes, or after
     * the duration {@code wait} if there are none. The protocol has no limit for the response, which contains all
     * changes; beyond {@link #MAX_WATCH_RESPONSE_BYTES} the outcome is {@link Outcome#isTooLarge}.
     */
    public void watch(String prefix, Count afterRevision, Duration wait, Consumer<Outcome> callback) {
        String path = "/watch?under=" + prefix + "&from=" + afterRevision + "&block_ms=" + wait.toMillis();
        send(
                HttpRequest.get(path, wait.plus(REQUEST_TIMEOUT)).withMaxResponseBytes(MAX_WATCH_RESPONSE_BYTES),
                ResponseCounts.REVISION,
                callback);
    }

    /** Requests a new lease. */
    public void grantLease(Duration duration, Consumer<Outcome> callback) {
        byte[] body = Cbor.encode(Cbor.map().put("life_ms", duration.toMillis()));
        send(HttpRequest.post("/grants", body, REQUEST_TIMEOUT), ResponseCounts.LEASE, callback);
    }

    /** Renews a lease, so that it expires one lease duration after the renewal. */
    public void renewLease(Count leaseId, Duration timeout, Consumer<Outcome> callback) {
        send(HttpRequest.post("/grants/" + leaseId + "/renew", Cbor.encode(Cbor.map()), timeout), null, callback);
    }

    /** Revokes a lease immediately, which also removes the keys that are held on it. */
    public void revokeLease(Count leaseId, Consumer<Outcome> callback) {
        send(HttpRequest.delete("/grants/" + leaseId, REQUEST_TIMEOUT), null, callback);
    }

    /**
     * Commits a transaction: applies the changes if all keys in {@code conditions} have their expected versions. If the
     * transaction cannot be encoded, the callback is called before this method returns.
     *
     * @param versionOf returns the expected version of a key; zero if the key must not exist
     * @param changes new value of each key; null removes the key
     * @param leaseId ID of the lease on which the member key and the leader key are written, if they are among the
     *     changes; ignored otherwise
     */
    public void commit(
            Collection<String> conditions,
            Function<String, Count> versionOf,
            Map<String, ? extends StoreRecord> changes,
            Count leaseId,
            Consumer<Outcome> callback) {
        byte[] body;
        try {
            body = encodeTransaction(conditions, versionOf, changes, leaseId);
        } catch (RuntimeException e) {
            LOG.error("could not encode a transaction and did not send it keys={}", changes.keySet(), e);
            callback.accept(Outcome.NOT_ENCODABLE);
            return;
        }
        send(HttpRequest.post("/commit", body, REQUEST_TIMEOUT), ResponseCounts.REVISION, callback);
    }

    private static byte[] encodeTransaction(
            Collection<String> conditions,
            Function<String, Count> versionOf,
            Map<String, ? extends StoreRecord> changes,
            Count leaseId) {
        ObjectNode transaction = Cbor.map();
        ArrayNode guards = transaction.putArray("guards");
        for (String key : conditions) {
            guards.addObject()
                    .put("k", key)
                    .set(ResponseCounts.VERSION, versionOf.apply(key).toNode());
        }
        ArrayNode then = transaction.putArray("then");
        changes.forEach((key, value) -> addChange(then.addObject(), key, value, leaseId));
        return Cbor.encode(transaction);
    }

    private static void addChange(ObjectNode change, String key, StoreRecord value, Count leaseId) {
        if (value == null) {
            change.put("remove", key);
            return;
        }
        change.put("put", key);
        change.set("v", RecordCodec.encode(value));
        if (isHeldOnLease(key)) {
            change.set(ResponseCounts.LEASE, leaseId.toNode());
        }
    }

    /** Returns true if the key is written on the writer's lease, so that it is removed when the lease ends. */
    private static boolean isHeldOnLease(String key) {
        return key.startsWith(StoreKeys.MEMBERS) || key.equals(StoreKeys.LEADER);
    }
}
