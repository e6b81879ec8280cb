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

/** The state service's calls. Every answer that is not of the stated form counts as unknown. */
public final class StateStoreClient {
    private static final Duration LIMIT = Duration.ofSeconds(3);
    /** The pause before a call that failed is tried again. */
    static final Duration RETRY = Duration.ofMillis(250);

    private static final int PAGE = 500;

    private final HttpClient httpClient;
    private final String address;

    public StateStoreClient(HttpClient httpClient, String address) {
        this.httpClient = httpClient;
        this.address = address;
    }

    /** Outcome of a call; the body is null unless the status came with a map. */
    public record Outcome(HttpResponse.Outcome kind, int status, ObjectNode body) {
        boolean is(int expected) {
            return kind == HttpResponse.Outcome.ANSWERED && status == expected && body != null;
        }

        /** The request may have been carried out, or may be carried out later. */
        boolean isUnknown() {
            return kind == HttpResponse.Outcome.UNKNOWN
                    || kind == HttpResponse.Outcome.ANSWERED
                            && (status == 200 && body == null
                                    || status != 200
                                            && status != 400
                                            && status != 404
                                            && status != 409
                                            && status != 410
                                            && status != 429
                                            && status != 503);
        }

        /** Revision of the state service at which the answer holds, or that of a single key; 0 if it names none. */
        public long revision() {
            return body == null ? 0 : body.path("logline").asLong(version(body));
        }

        /** The keys whose guards a refused commit names; to be asked only of an outcome with a body. */
        Set<String> failedConditions() {
            Set<String> failed = new HashSet<>();
            body.path("failed").forEach(key -> failed.add(key.asText()));
            return failed;
        }
    }

    private void call(HttpRequest request, Consumer<Outcome> callback) {
        httpClient.call(address, request, response -> {
            ObjectNode body = null;
            if (response.outcome() == HttpResponse.Outcome.ANSWERED && response.body().length > 0) {
                try {
                    body = Cbor.decode(response.body());
                } catch (MalformedMessageException e) {
                    body = null;
                }
            }
            callback.accept(new Outcome(response.outcome(), response.status(), body));
        });
    }

    public void get(String key, Consumer<Outcome> callback) {
        call(HttpRequest.get("/store/" + key, LIMIT), callback);
    }

    public void list(String prefix, String from, Consumer<Outcome> callback) {
        String after = from == null ? "" : "&from=" + from;
        call(HttpRequest.get("/store?under=" + prefix + after + "&page=" + PAGE, LIMIT), callback);
    }

    /**
     * Asks for the changes under the prefix after revision {@code from}; without any, the answer comes after {@code wait}.
     */
    public void watch(String prefix, long from, Duration wait, Consumer<Outcome> callback) {
        call(
                HttpRequest.get(
                        "/watch?under=" + prefix + "&from=" + from + "&block_ms=" + wait.toMillis(), wait.plus(LIMIT)),
                callback);
    }

    public void grant(Duration life, Consumer<Outcome> callback) {
        call(HttpRequest.post("/grants", Cbor.encode(Cbor.map().put("life_ms", life.toMillis())), LIMIT), callback);
    }

    public void renew(long lease, Duration limit, Consumer<Outcome> callback) {
        call(HttpRequest.post("/grants/" + lease + "/renew", Cbor.encode(Cbor.map()), limit), callback);
    }

    public void end(long lease, Consumer<Outcome> callback) {
        call(HttpRequest.delete("/grants/" + lease, LIMIT), callback);
    }

    /** Commits the changes if all guards hold; keys for which {@code tethered} holds live as long as the lease. */
    public void commit(
            Collection<String> guards,
            ToLongFunction<String> mark,
            Map<String, ? extends StoreRecord> changes,
            long lease,
            Consumer<Outcome> callback) {
        ObjectNode node = Cbor.map();
        ArrayNode conditions = node.putArray("guards");
        for (String key : guards) {
            conditions.addObject().put("k", key).put("mark", mark.applyAsLong(key));
        }
        ArrayNode then = node.putArray("then");
        changes.forEach((key, value) -> {
            ObjectNode change = then.addObject();
            if (value == null) {
                change.put("remove", key);
            } else {
                change.put("put", key);
                change.set("v", RecordCodec.encode(value));
                if (isTethered(key)) {
                    change.put("tether", lease);
                }
            }
        });
        call(HttpRequest.post("/commit", Cbor.encode(node), LIMIT), callback);
    }

    /** Whether a key is written on the writer's lease, and so goes with its membership. */
    private static boolean isTethered(String key) {
        return key.startsWith(StoreKeys.MEMBERS) || key.equals(StoreKeys.LEADER);
    }

    static long version(JsonNode item) {
        return item.path("mark").asLong();
    }
}
