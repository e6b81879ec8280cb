package org.gullway.standin;

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
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedException;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;

/** The state service as its protocol describes it, in memory. */
public final class StandInStore {
    private record Entry(JsonNode value, long mark, long lease) {
    }

    private record Event(String key, JsonNode value, long mark) {
    }

    private record Watch(String prefix, long from, Call call, Runnable cancelTimer) {
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
    /** Changes by the first two parts of their keys, such as live/jobs. */
    private final Map<String, Integer> changes = new TreeMap<>();
    private int largestValue;
    private double tokens;
    private Instant tokensAt;

    /** Limits of the settings; what goes over them is refused. */
    public static final int CHANGES_PER_SECOND = 30;
    public static final int CHANGES_PER_COMMIT = 24;
    public static final int VALUE_BYTES = 16 * 1024;

    public StandInStore(EventLoop loop) {
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
        }
    }

    public JsonNode value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    /** How often keys of this prefix were put or removed. */
    public int changes(String prefix) {
        return changes.entrySet().stream().filter(e -> e.getKey().startsWith(prefix)).mapToInt(Map.Entry::getValue).sum();
    }

    public int largestValue() {
        return largestValue;
    }

    /** Whether the commit keeps the limits of the protocol; if not it is answered here. */
    private boolean keepsLimits(Call call, ObjectNode body) {
        boolean valid = body.path("then").size() <= CHANGES_PER_COMMIT
                && body.path("guards").size() <= 4 * CHANGES_PER_COMMIT && body.toString().length() <= 64 * 1024;
        for (JsonNode change : body.path("then")) {
            int bytes = change.path("v").toString().length();
            largestValue = Math.max(largestValue, bytes);
            valid &= bytes <= VALUE_BYTES;
        }
        if (!valid) {
            call.answer(400, Cbor.encode(Cbor.map().put("error", "over a limit")));
            return false;
        }
        tokens = Math.min(CHANGES_PER_SECOND, tokens
                + Duration.between(tokensAt, loop.now()).toMillis() / 1000.0 * CHANGES_PER_SECOND);
        tokensAt = loop.now();
        if (tokens < body.path("then").size()) {
            call.answer(429, new byte[0]);
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
                .filter(e -> !loop.now().isBefore(e.getValue().end)).map(Map.Entry::getKey).toList();
        over.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = entries.entrySet().stream().filter(e -> e.getValue().lease() == id)
                .map(Map.Entry::getKey).toList();
        if (!keys.isEmpty()) {
            revision++;
            for (String key : keys) {
                entries.remove(key);
                history.add(new Event(key, null, revision));
            }
            wake();
        }
    }

    public void handle(Call call) {
        if (down) {
            call.answer(503, new byte[0]);
            return;
        }
        String path = call.path();
        Map<String, String> query = new HashMap<>();
        for (String part : call.query().split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        try {
            if (path.equals("/store")) {
                list(call, query);
            } else if (path.startsWith("/store/")) {
                get(call, path.substring("/store/".length()));
            } else if (path.equals("/commit")) {
                commit(call, Cbor.decode(call.body()));
            } else if (path.equals("/watch")) {
                watch(call, query);
            } else if (path.startsWith("/grants")) {
                lease(call, path.split("/"));
            } else {
                call.answer(404, new byte[0]);
            }
        } catch (MalformedException e) {
            call.answer(400, new byte[0]);
        }
    }

    private ObjectNode item(String key, Entry entry) {
        ObjectNode node = Cbor.map().put("k", key).put("mark", entry.mark());
        node.set("v", entry.value());
        if (entry.lease() != 0) {
            node.put("tether", entry.lease());
        }
        return node;
    }

    private void get(Call call, String key) {
        Entry entry = entries.get(key);
        if (entry == null) {
            call.answer(404, Cbor.encode(Cbor.map().put("logline", revision)));
        } else {
            call.answer(200, Cbor.encode(item(key, entry)));
        }
    }

    private void list(Call call, Map<String, String> query) {
        String prefix = query.getOrDefault("under", "");
        int page = Integer.parseInt(query.getOrDefault("page", "1000"));
        ObjectNode node = Cbor.map().put("logline", revision);
        ArrayNode items = node.putArray("items");
        boolean more = false;
        for (Map.Entry<String, Entry> e : entries.tailMap(query.getOrDefault("from", prefix), !query.containsKey("from"))
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
        call.answer(200, Cbor.encode(node.put("more", more)));
    }

    private void commit(Call call, ObjectNode body) {
        if (!keepsLimits(call, body)) {
            return;
        }
        ObjectNode failure = Cbor.map();
        ArrayNode failed = failure.putArray("failed");
        for (JsonNode guard : body.path("guards")) {
            Entry entry = entries.get(guard.path("k").asText());
            if ((entry == null ? 0 : entry.mark()) != guard.path("mark").asLong()) {
                failed.add(guard.path("k").asText());
            }
        }
        for (JsonNode change : body.path("then")) {
            if (change.has("tether") && !leases.containsKey(change.path("tether").asLong())) {
                call.answer(400, Cbor.encode(Cbor.map().put("error", "no such lease")));
                return;
            }
        }
        if (!failed.isEmpty()) {
            call.answer(409, Cbor.encode(failure.put("logline", revision)));
            return;
        }
        if (!body.path("then").isEmpty()) {
            revision++;
            for (JsonNode change : body.path("then")) {
                String[] parts = (change.has("remove") ? change.path("remove") : change.path("put")).asText().split("/");
                changes.merge(parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0], 1, Integer::sum);
                if (change.has("remove")) {
                    if (entries.remove(change.path("remove").asText()) != null) {
                        history.add(new Event(change.path("remove").asText(), null, revision));
                    }
                } else {
                    String key = change.path("put").asText();
                    entries.put(key, new Entry(change.path("v"), revision, change.path("tether").asLong()));
                    history.add(new Event(key, change.path("v"), revision));
                }
            }
        }
        call.answer(200, Cbor.encode(Cbor.map().put("logline", revision)));
        wake();
    }

    private void watch(Call call, Map<String, String> query) {
        String prefix = query.getOrDefault("under", "");
        long from = Long.parseLong(query.get("from"));
        Duration wait = Duration.ofMillis(Long.parseLong(query.getOrDefault("block_ms", "0")));
        Watch[] self = new Watch[1];
        Runnable cancel = loop.after(wait, () -> {
            if (watches.remove(self[0])) {
                answer(self[0]);
            }
        });
        self[0] = new Watch(prefix, from, call, cancel);
        if (pending(self[0])) {
            cancel.run();
            answer(self[0]);
        } else {
            watches.add(self[0]);
        }
    }

    private boolean pending(Watch watch) {
        for (int i = history.size() - 1; i >= 0 && history.get(i).mark() > watch.from(); i--) {
            if (history.get(i).key().startsWith(watch.prefix())) {
                return true;
            }
        }
        return false;
    }

    private void answer(Watch watch) {
        ObjectNode node = Cbor.map().put("logline", revision);
        ArrayNode events = node.putArray("events");
        int first = history.size();
        while (first > 0 && history.get(first - 1).mark() > watch.from()) {
            first--;
        }
        for (Event event : history.subList(first, history.size())) {
            if (event.key().startsWith(watch.prefix())) {
                ObjectNode e = events.addObject().put("mark", event.mark());
                if (event.value() == null) {
                    e.put("remove", event.key());
                } else {
                    e.put("put", event.key()).set("v", event.value());
                }
            }
        }
        watch.call().answer(200, Cbor.encode(node));
    }

    private void wake() {
        for (Watch watch : List.copyOf(watches)) {
            if (pending(watch)) {
                watches.remove(watch);
                watch.cancelTimer().run();
                answer(watch);
            }
        }
    }

    private void lease(Call call, String[] parts) throws MalformedException {
        if (parts.length == 2) {
            Lease lease = new Lease();
            lease.life = Duration.ofMillis(Cbor.decode(call.body()).path("life_ms").asLong());
            lease.end = loop.now().plus(lease.life);
            leases.put(++nextLease, lease);
            call.answer(200, Cbor.encode(Cbor.map().put("tether", nextLease)));
            return;
        }
        Lease lease = leases.get(Long.parseLong(parts[2]));
        if (lease == null) {
            call.answer(404, new byte[0]);
        } else if (parts.length == 4) {
            lease.end = loop.now().plus(lease.life);
            call.answer(200, Cbor.encode(Cbor.map().put("tether", Long.parseLong(parts[2]))));
        } else {
            endLease(Long.parseLong(parts[2]));
            call.answer(200, new byte[0]);
        }
    }
}
