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
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;

/** The cloud as its protocol describes it: rents machines, whose agents come up after their boot time. */
public final class FakeCloud {
    /** Brings up the agent of a machine. */
    @FunctionalInterface
    public interface Boot {
        FakeAgent start(String name, FakeAgent.Kind kind);
    }

    private static final class Machine {
        private final FakeAgent.Kind kind;
        private final Instant rented;
        private FakeAgent agent;

        Machine(FakeAgent.Kind kind, Instant rented) {
            this.kind = kind;
            this.rented = rented;
        }
    }

    private final EventLoop loop;
    private final List<MachineType> types;
    private final int capacity;
    private final Boot boot;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> charters = new HashMap<>();
    private int names;
    private Duration longestBoot = Duration.ofDays(1);

    /** @param capacity machines of each type, zone and kind */
    public FakeCloud(EventLoop loop, List<MachineType> types, int capacity, Boot boot) {
        this.loop = loop;
        this.types = types;
        this.capacity = capacity;
        this.boot = boot;
    }

    public List<FakeAgent> agents() {
        return machines.values().stream()
                .map(m -> m.agent)
                .filter(w -> w != null && w.alive())
                .toList();
    }

    /** The agent of this machine, or null. */
    public FakeAgent agent(String name) {
        Machine machine = machines.get(name);
        return machine == null ? null : machine.agent;
    }

    /** From now on machines are up within this time, however long their type usually takes. */
    public void setBootTime(Duration longest) {
        longestBoot = longest;
    }

    public int rented() {
        return machines.size();
    }

    public int rentedEver() {
        return names;
    }

    /** The cloud takes a spot machine back. */
    public void reclaimSpot(FakeAgent agent) {
        agent.terminate();
        machines.remove(agent.name());
    }

    public void handle(HttpExchange exchange) {
        try {
            switch (exchange.path()) {
                case "/flavors" -> flavors(exchange);
                case "/rentals" -> {
                    if (exchange.method().equals("POST")) {
                        rent(exchange, Cbor.decode(exchange.body()));
                    } else {
                        list(exchange);
                    }
                }
                case "/rentals/return" -> giveBack(exchange, Cbor.decode(exchange.body()));
                default -> exchange.respond(404, new byte[0]);
            }
        } catch (MalformedMessageException e) {
            exchange.respond(400, new byte[0]);
        }
    }

    private void flavors(HttpExchange exchange) {
        ObjectNode node = Cbor.map();
        ArrayNode list = node.putArray("breeds");
        for (MachineType type : types) {
            ObjectNode item = list.addObject()
                    .put("name", type.name())
                    .put("cpus", type.cpus())
                    .put("cards", type.gpus())
                    .put("mem_gb", type.memoryGb())
                    .put("local_gb", type.cacheGb())
                    .put("pull_gb_per_s", type.fetchGbPerSecond())
                    .put("price", type.price())
                    .put("low_price", type.spotPrice())
                    .put("startup_s", type.bootTime().toMillis() / 1000.0);
            ArrayNode zones = item.putArray("shores");
            type.zones().forEach(zones::add);
        }
        exchange.respond(200, Cbor.encode(node));
    }

    private void rent(HttpExchange exchange, JsonNode body) {
        String charter = body.path("charter").asText();
        List<String> names = charters.get(charter);
        if (names == null) {
            MachineType type = types.stream()
                    .filter(t -> t.name().equals(body.path("breed").asText()))
                    .findFirst()
                    .orElseThrow();
            FakeAgent.Kind kind = new FakeAgent.Kind(
                    type.name(),
                    body.path("shore").asText(),
                    body.path("driftwood").asBoolean(),
                    type.cpus());
            long there =
                    machines.values().stream().filter(m -> m.kind.equals(kind)).count();
            names = new ArrayList<>();
            for (int i = 0; i < body.path("count").asInt() && there + i < capacity; i++) {
                String name = String.format("vm-%06d", names());
                names.add(name);
                Machine machine = new Machine(kind, loop.now());
                machines.put(name, machine);
                Duration boots = type.bootTime().compareTo(longestBoot) < 0 ? type.bootTime() : longestBoot;
                loop.after(boots, () -> {
                    if (machines.get(name) == machine) {
                        machine.agent = boot.start(name, kind);
                    }
                });
            }
            if (names.isEmpty()) {
                exchange.respond(503, Cbor.encode(Cbor.map().put("error", "no capacity")));
                return;
            }
            charters.put(charter, names);
        }
        ObjectNode node = Cbor.map();
        ArrayNode list = node.putArray("perches");
        names.forEach(list::add);
        exchange.respond(200, Cbor.encode(node));
    }

    private int names() {
        return names++;
    }

    private void giveBack(HttpExchange exchange, JsonNode body) {
        for (JsonNode name : body.path("perches")) {
            Machine machine = machines.remove(name.asText());
            if (machine != null && machine.agent != null) {
                machine.agent.terminate();
            }
        }
        exchange.respond(200, Cbor.encode(Cbor.map()));
    }

    private void list(HttpExchange exchange) {
        ObjectNode node = Cbor.map();
        ArrayNode list = node.putArray("perches");
        String from = exchange.query().replaceAll(".*from=([^&]*).*", "$1");
        var rest = machines.tailMap(from, false);
        node.put("more", rest.size() > 500);
        rest.entrySet().stream().limit(500).forEach(entry -> add(list, entry.getKey(), entry.getValue()));
        exchange.respond(200, Cbor.encode(node));
    }

    private void add(ArrayNode list, String name, Machine machine) {
        list.addObject()
                .put("name_id", name)
                .put("endpoint", "10.1.0.1:9000")
                .put("breed", machine.kind.type())
                .put("shore", machine.kind.zone())
                .put("driftwood", machine.kind.spot())
                .put("tide", machine.agent == null ? "booting" : machine.agent.alive() ? "running" : "failed")
                .put("held_s", Duration.between(machine.rented, loop.now()).toMillis() / 1000.0);
    }
}
