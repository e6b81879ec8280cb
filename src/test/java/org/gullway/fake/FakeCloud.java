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
import org.gullway.transport.HttpStatus;

/**
 * A simulated cloud provider that follows the provider protocol. The agent of a provisioned machine starts after the
 * boot time.
 */
public final class FakeCloud {
    /** Starts the agent of a machine that has booted. */
    @FunctionalInterface
    public interface Boot {
        FakeAgent start(String name, FakeAgent.Kind kind);
    }

    private static final class Machine {
        private final FakeAgent.Kind kind;
        private final Instant provisionedAt;
        private FakeAgent agent;

        Machine(FakeAgent.Kind kind, Instant provisionedAt) {
            this.kind = kind;
            this.provisionedAt = provisionedAt;
        }
    }

    private static final int PAGE_SIZE = 500;

    private final EventLoop loop;
    private final List<MachineType> machineTypes;
    private final int capacity;
    private final Boot boot;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    /** Names of the machines provisioned by each request, by request id; a repeated request gets the same names. */
    private final Map<String, List<String>> provisioned = new HashMap<>();

    private int provisionedCount;
    private Duration maxBootTime = Duration.ofDays(1);

    /** @param capacity maximum number of machines of each type in each zone, separately for spot and other machines */
    public FakeCloud(EventLoop loop, List<MachineType> machineTypes, int capacity, Boot boot) {
        this.loop = loop;
        this.machineTypes = machineTypes;
        this.capacity = capacity;
        this.boot = boot;
    }

    /** Returns the agents of all running machines, ordered by machine name. */
    public List<FakeAgent> agents() {
        return machines.values().stream()
                .map(machine -> machine.agent)
                .filter(agent -> agent != null && agent.alive())
                .toList();
    }

    /** Returns the agent of the machine, or null if the machine does not exist or is still booting. */
    public FakeAgent agent(String name) {
        Machine machine = machines.get(name);
        return machine == null ? null : machine.agent;
    }

    /** Sets an upper bound on the boot time of machines that are provisioned from now on. */
    public void setMaxBootTime(Duration limit) {
        maxBootTime = limit;
    }

    /** Returns the number of machines that exist now. */
    public int machineCount() {
        return machines.size();
    }

    /** Returns the number of machines provisioned since the start. */
    public int provisionedCount() {
        return provisionedCount;
    }

    /** Reclaims a spot machine: it is terminated and no longer listed. */
    public void reclaimSpot(FakeAgent agent) {
        agent.terminate();
        machines.remove(agent.name());
    }

    /** Handles one request of the provider protocol. */
    public void handle(HttpExchange exchange) {
        try {
            switch (exchange.path()) {
                case "/flavors" -> listTypes(exchange);
                case "/rentals" -> {
                    if (exchange.method().equals("POST")) {
                        provision(exchange, Cbor.decode(exchange.body()));
                    } else {
                        listMachines(exchange);
                    }
                }
                case "/rentals/return" -> release(exchange, Cbor.decode(exchange.body()));
                default -> exchange.respond(HttpStatus.NOT_FOUND, new byte[0]);
            }
        } catch (MalformedMessageException e) {
            exchange.respond(HttpStatus.BAD_REQUEST, new byte[0]);
        }
    }

    private void listTypes(HttpExchange exchange) {
        ObjectNode node = Cbor.map();
        ArrayNode list = node.putArray("breeds");
        for (MachineType type : machineTypes) {
            ObjectNode item = list.addObject()
                    .put("name", type.name())
                    .put("cpus", type.cpus())
                    .put("cards", type.gpus())
                    .put("mem_gb", type.memoryGb())
                    .put("local_gb", type.localDiskGb())
                    .put("pull_gb_per_s", type.imagePullGbPerSecond())
                    .put("price", type.price())
                    .put("low_price", type.spotPrice())
                    .put("startup_s", type.bootTime().toMillis() / 1000.0);
            ArrayNode zones = item.putArray("shores");
            type.zones().forEach(zones::add);
        }
        exchange.respond(HttpStatus.OK, Cbor.encode(node));
    }

    private void provision(HttpExchange exchange, JsonNode body) {
        String request = body.path("charter").asText();
        List<String> names = provisioned.get(request);
        if (names == null) {
            names = provisionNew(body);
            if (names.isEmpty()) {
                exchange.respond(
                        HttpStatus.SERVICE_UNAVAILABLE, Cbor.encode(Cbor.map().put("error", "no capacity")));
                return;
            }
            provisioned.put(request, names);
        }
        ObjectNode node = Cbor.map();
        names.forEach(node.putArray("perches")::add);
        exchange.respond(HttpStatus.OK, Cbor.encode(node));
    }

    /** Provisions the requested number of machines, or as many as the capacity allows, and returns their names. */
    private List<String> provisionNew(JsonNode body) {
        MachineType type = machineTypes.stream()
                .filter(t -> t.name().equals(body.path("breed").asText()))
                .findFirst()
                .orElseThrow();
        FakeAgent.Kind kind = new FakeAgent.Kind(
                type.name(), body.path("shore").asText(), body.path("driftwood").asBoolean(), type.cpus());
        long existing =
                machines.values().stream().filter(m -> m.kind.equals(kind)).count();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < body.path("count").asInt() && existing + i < capacity; i++) {
            String name = String.format("vm-%06d", provisionedCount++);
            names.add(name);
            Machine machine = new Machine(kind, loop.now());
            machines.put(name, machine);
            Duration bootTime = type.bootTime().compareTo(maxBootTime) < 0 ? type.bootTime() : maxBootTime;
            loop.after(bootTime, () -> boot(name, machine));
        }
        return names;
    }

    private void boot(String name, Machine machine) {
        if (machines.get(name) == machine) {
            machine.agent = boot.start(name, machine.kind);
        }
    }

    private void release(HttpExchange exchange, JsonNode body) {
        for (JsonNode name : body.path("perches")) {
            Machine machine = machines.remove(name.asText());
            if (machine != null && machine.agent != null) {
                machine.agent.terminate();
            }
        }
        exchange.respond(HttpStatus.OK, Cbor.encode(Cbor.map()));
    }

    private void listMachines(HttpExchange exchange) {
        ObjectNode node = Cbor.map();
        ArrayNode list = node.putArray("perches");
        String from = exchange.query().replaceAll(".*from=([^&]*).*", "$1");
        var remaining = machines.tailMap(from, false);
        node.put("more", remaining.size() > PAGE_SIZE);
        remaining.entrySet().stream()
                .limit(PAGE_SIZE)
                .forEach(entry -> addMachine(list, entry.getKey(), entry.getValue()));
        exchange.respond(HttpStatus.OK, Cbor.encode(node));
    }

    private void addMachine(ArrayNode list, String name, Machine machine) {
        list.addObject()
                .put("name_id", name)
                .put("endpoint", "10.1.0.1:9000")
                .put("breed", machine.kind.type())
                .put("shore", machine.kind.zone())
                .put("driftwood", machine.kind.spot())
                .put("tide", machine.agent == null ? "booting" : machine.agent.alive() ? "running" : "failed")
                .put(
                        "held_s",
                        Duration.between(machine.provisionedAt, loop.now()).toMillis() / 1000.0);
    }
}
