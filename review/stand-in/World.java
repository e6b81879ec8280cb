import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Stand-ins of the other systems (state service, cloud, workers, users) on loopback, written after the protocol page,
 * and the three controllers as processes of their own with the command of the deploy file.
 */
final class World implements AutoCloseable {
    static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    /** One machine type. */
    record Type(String name, double cpus, double memGb, double pullGbPerS, double price, double lowPrice, double startupS) {}

    /** A team with its guarantee and limit. */
    record Team(String name, double cpus, double cpusMax) {}

    /** The settings of a deployment. */
    static final class Site {
        String[] zones;
        String[] nodeZones;
        List<Type> types;
        List<Team> teams;
        double reportS;
        double leaseS;
        double cancelS;
        double rps;
        double writeRps;
        double valueKb;
        int txnOps;
        /** Limits that the state service has later; null if the settings announce none. */
        double[] next;
        double cloudRps;
        double listLagS;
        double cpuShare;
        int sockets;
    }

    /** A job as its user submits it, and what its user knows. */
    static final class Job {
        final ObjectNode body;
        final String id;
        final String crew;
        final int legs;
        final double cpus;
        final double memGb;
        final double imageGb;
        final String kit;
        final boolean driftwood;
        final double runS;
        volatile long acceptedAt;
        volatile String tide = "";
        volatile long cancelledAt;
        volatile boolean cancelAsked;
        final Set<Integer> done = ConcurrentHashMap.newKeySet();
        final Map<Integer, Set<String>> on = new HashMap<>();
        long startableSince;

        Job(ObjectNode body, double runS) {
            this.body = body;
            this.id = body.get("name_id").asText();
            this.crew = body.get("crew").asText();
            this.legs = body.get("legs").asInt();
            this.cpus = body.get("cpus").asDouble();
            this.memGb = body.get("mem_gb").asDouble();
            this.imageGb = body.get("image_gb").asDouble();
            this.kit = body.get("kit").asText();
            this.driftwood = body.get("driftwood").asBoolean();
            this.runS = runS;
        }

        boolean ended() {
            return tide.equals("done") || tide.equals("aborted");
        }
    }

    final Site site;
    final Path root;
    final Path dir;
    final PrintWriter record;
    final long startNanos = System.nanoTime();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(8, daemon());
    final java.util.concurrent.ExecutorService pool = Executors.newCachedThreadPool(daemon());
    final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(pool)
            .build();
    final State state;
    final Cloud cloud;
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Map<String, Agent> agents = new ConcurrentHashMap<>();
    final Map<String, String> publicAddr = new LinkedHashMap<>();
    final Map<String, String> meshAddr = new LinkedHashMap<>();
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    final Map<String, Boolean> healthy = new ConcurrentHashMap<>();
    final List<HttpServer> servers = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    private final AtomicInteger turn = new AtomicInteger();
    private final String host;

    static java.util.concurrent.ThreadFactory daemon() {
        return r -> {
            Thread thread = new Thread(r);
            thread.setDaemon(true);
            return thread;
        };
    }

    World(Site site, Path root, Path recordFile) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        this.site = site;
        this.root = root;
        this.dir = Files.createTempDirectory("gullway-review");
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.host = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
        this.state = new State();
        this.cloud = new Cloud();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void log(String line) {
        synchronized (record) {
            record.printf("%8.3f  %s%n", now() / 1000.0, line);
        }
    }

    void violation(String rule, String text) {
        synchronized (broken) {
            broken.add(rule + ": " + text);
        }
        log("RULE BROKEN " + rule + ": " + text);
    }

    void after(double seconds, Runnable task) {
        timers.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        log("stand-in error " + e);
                    }
                },
                (long) (seconds * 1000),
                TimeUnit.MILLISECONDS);
    }

    static byte[] bytes(JsonNode node) {
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static JsonNode parse(byte[] body) {
        try {
            return body.length == 0 ? map() : CBOR.readTree(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static ObjectNode map() {
        return CBOR.createObjectNode();
    }

    interface Handler {
        void handle(HttpExchange exchange, String path, Map<String, String> query, byte[] body) throws Exception;
    }

    String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 1000);
        server.setExecutor(pool);
        server.createContext("/", exchange -> {
            try {
                byte[] body = exchange.getRequestBody().readAllBytes();
                Map<String, String> query = new HashMap<>();
                String text = exchange.getRequestURI().getQuery();
                for (String part : (text == null ? "" : text).split("&")) {
                    int equals = part.indexOf('=');
                    if (equals > 0) {
                        query.put(part.substring(0, equals), part.substring(equals + 1));
                    }
                }
                handler.handle(exchange, exchange.getRequestURI().getPath(), query, body);
            } catch (Exception e) {
                log("stand-in error " + exchange.getRequestURI() + " " + e);
                exchange.close();
            }
        });
        server.start();
        servers.add(server);
        return host + ":" + server.getAddress().getPort();
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) {
        try {
            byte[] content = body == null ? new byte[0] : bytes(body);
            exchange.sendResponseHeaders(status, content.length == 0 ? -1 : content.length);
            if (content.length > 0) {
                exchange.getResponseBody().write(content);
            }
            exchange.close();
        } catch (IOException e) {
            exchange.close();
        }
    }

    String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return host + ":" + socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- state service

    final class State {
        final class Entry {
            JsonNode value;
            long mark;
            long tether;
        }

        record Event(String key, JsonNode value, long mark) {}

        final TreeMap<String, Entry> entries = new TreeMap<>();
        final List<Event> events = new ArrayList<>();
        final Map<Long, Long> leaseEnd = new HashMap<>();
        final Map<Long, Long> leaseLife = new HashMap<>();
        final Map<String, String> addresses = new LinkedHashMap<>();
        final Set<String> refused = ConcurrentHashMap.newKeySet();
        volatile boolean down;
        volatile double delayS;
        /** Transactions for which this holds are carried out, but get no answer; arguments: node, body. */
        volatile java.util.function.BiPredicate<String, JsonNode> loseAnswer = (node, body) -> false;

        volatile double valueKb = site.valueKb;
        volatile int txnOps = site.txnOps;
        volatile double writeRps = site.writeRps;
        double writeTokens = site.writeRps;
        double requestTokens = site.rps;
        long refilledAt;
        long logline = 1;
        long tether;
        int overLimit;
        int commits;

        void open() throws IOException {
            for (String node : publicAddr.keySet()) {
                addresses.put(node, serve((exchange, path, query, body) -> handle(node, exchange, path, query, body)));
            }
            timers.scheduleAtFixedRate(this::expire, 20, 20, TimeUnit.MILLISECONDS);
        }

        synchronized void expire() {
            if (down) {
                return;
            }
            long now = now();
            for (Map.Entry<Long, Long> lease : List.copyOf(leaseEnd.entrySet())) {
                if (lease.getValue() < now) {
                    endLease(lease.getKey());
                }
            }
        }

        private void endLease(long id) {
            leaseEnd.remove(id);
            List<String> keys = entries.entrySet().stream()
                    .filter(entry -> entry.getValue().tether == id)
                    .map(Map.Entry::getKey)
                    .toList();
            if (!keys.isEmpty()) {
                logline++;
                for (String key : keys) {
                    entries.remove(key);
                    events.add(new Event(key, null, logline));
                    log("state: lease ended, removed " + key);
                }
                notifyAll();
            }
        }

        synchronized void setDown(boolean value) {
            down = value;
            if (!value) {
                leaseEnd.replaceAll((id, end) -> now() + leaseLife.get(id));
                notifyAll();
            }
            log("state service " + (value ? "down" : "up"));
        }

        boolean serves(String node) {
            return !down && !refused.contains(node);
        }

        private synchronized boolean takeRequest() {
            long now = now();
            requestTokens = Math.min(site.rps, requestTokens + (now - refilledAt) / 1000.0 * site.rps);
            writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) / 1000.0 * writeRps);
            refilledAt = now;
            if (requestTokens < 1) {
                return false;
            }
            requestTokens--;
            return true;
        }

        void handle(String node, HttpExchange exchange, String path, Map<String, String> query, byte[] body)
                throws Exception {
            if (delayS > 0) {
                Thread.sleep((long) (delayS * 1000));
            }
            if (!serves(node)) {
                answer(exchange, 503, map().put("error", "trouble"));
                return;
            }
            if (!takeRequest()) {
                answer(exchange, 429, null);
                return;
            }
            if (path.equals("/watch")) {
                watch(node, exchange, query);
            } else if (path.equals("/commit")) {
                JsonNode transaction = parse(body);
                int[] status = new int[1];
                ObjectNode result = commit(node, transaction, status);
                if (loseAnswer.test(node, transaction)) {
                    log("state: answer " + status[0] + " to a transaction of " + node + " is lost");
                    Thread.sleep(5000);
                    exchange.close();
                    return;
                }
                answer(exchange, status[0], result);
            } else if (path.startsWith("/grants")) {
                lease(exchange, path.split("/"), body);
            } else if (path.equals("/store")) {
                list(exchange, query);
            } else {
                get(exchange, path.substring("/store/".length()));
            }
        }

        private synchronized ObjectNode commit(String node, JsonNode body, int[] status) {
            JsonNode then = body.path("then");
            JsonNode guards = body.path("guards");
            String over = null;
            if (then.size() > txnOps) {
                over = then.size() + " changes, the limit is " + txnOps;
            } else if (guards.size() > 4 * txnOps) {
                over = guards.size() + " conditions, the limit is " + 4 * txnOps;
            } else if (body.toString().length() > 64 * 1024) {
                over = "a transaction of " + body.toString().length() + " bytes";
            }
            for (JsonNode change : then) {
                int size = change.path("v").toString().length();
                if (size > valueKb * 1024) {
                    over = change.path("put").asText() + " has " + size + " bytes, the limit is " + valueKb + " KiB";
                }
            }
            if (over != null) {
                status[0] = 400;
                if (overLimit++ < 12 || overLimit % 100 == 0) {
                    log("state: 400 to " + node + " (number " + overLimit + "): " + over);
                }
                return map().put("error", over);
            }
            if (writeTokens < then.size()) {
                status[0] = 429;
                return map().put("error", "too many changes");
            }
            writeTokens -= then.size();
            for (JsonNode change : then) {
                if (change.hasNonNull("tether") && !leaseEnd.containsKey(change.get("tether").asLong())) {
                    status[0] = 400;
                    return map().put("error", "no such lease");
                }
            }
            ObjectNode result = map();
            ArrayNode failed = result.putArray("failed");
            for (JsonNode guard : guards) {
                Entry entry = entries.get(guard.get("k").asText());
                if ((entry == null ? 0 : entry.mark) != guard.get("mark").asLong()) {
                    failed.add(guard.get("k").asText());
                }
            }
            if (!failed.isEmpty()) {
                status[0] = 409;
                return result.put("logline", logline);
            }
            status[0] = 200;
            if (then.isEmpty()) {
                return map().put("logline", logline);
            }
            logline++;
            commits++;
            for (JsonNode change : then) {
                if (change.has("remove")) {
                    String key = change.get("remove").asText();
                    if (entries.remove(key) != null) {
                        events.add(new Event(key, null, logline));
                    }
                } else {
                    Entry entry = new Entry();
                    entry.value = change.get("v");
                    entry.mark = logline;
                    entry.tether = change.path("tether").asLong(0);
                    entries.put(change.get("put").asText(), entry);
                    events.add(new Event(change.get("put").asText(), entry.value, logline));
                }
            }
            notifyAll();
            return map().put("logline", logline);
        }

        private ObjectNode item(String key, Entry entry) {
            ObjectNode node = map().put("k", key).put("mark", entry.mark);
            node.set("v", entry.value);
            if (entry.tether != 0) {
                node.put("tether", entry.tether);
            }
            return node;
        }

        private synchronized void get(HttpExchange exchange, String key) {
            Entry entry = entries.get(key);
            answer(exchange, entry == null ? 404 : 200, entry == null ? map().put("logline", logline) : item(key, entry));
        }

        private synchronized void list(HttpExchange exchange, Map<String, String> query) {
            String under = query.getOrDefault("under", "");
            String from = query.get("from");
            int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
            ObjectNode result = map().put("logline", logline);
            ArrayNode items = result.putArray("items");
            boolean more = false;
            for (Map.Entry<String, Entry> entry : entries.tailMap(from == null ? under : from, from == null).entrySet()) {
                if (!entry.getKey().startsWith(under)) {
                    break;
                }
                if (items.size() == page) {
                    more = true;
                    break;
                }
                items.add(item(entry.getKey(), entry.getValue()));
            }
            answer(exchange, 200, result.put("more", more));
        }

        private synchronized void lease(HttpExchange exchange, String[] path, byte[] body) {
            if (path.length == 2) {
                long id = ++tether;
                long life = parse(body).get("life_ms").asLong();
                leaseLife.put(id, life);
                leaseEnd.put(id, now() + life);
                answer(exchange, 200, map().put("tether", id));
                return;
            }
            long id = Long.parseLong(path[2]);
            if (!leaseEnd.containsKey(id)) {
                answer(exchange, 404, null);
            } else if (path.length == 4) {
                leaseEnd.put(id, now() + leaseLife.get(id));
                answer(exchange, 200, map().put("tether", id));
            } else {
                endLease(id);
                answer(exchange, 200, null);
            }
        }

        private void watch(String node, HttpExchange exchange, Map<String, String> query) throws InterruptedException {
            long from = Long.parseLong(query.getOrDefault("from", "0"));
            String under = query.getOrDefault("under", "");
            long end = now() + Long.parseLong(query.getOrDefault("block_ms", "0"));
            ObjectNode result = map();
            synchronized (this) {
                while (true) {
                    ArrayNode found = result.putArray("events");
                    int first = events.size();
                    while (first > 0 && events.get(first - 1).mark > from) {
                        first--;
                    }
                    for (Event event : events.subList(first, events.size())) {
                        if (event.key.startsWith(under)) {
                            ObjectNode item = found.addObject().put("mark", event.mark);
                            if (event.value == null) {
                                item.put("remove", event.key);
                            } else {
                                item.put("put", event.key).set("v", event.value);
                            }
                        }
                    }
                    if (serves(node) && (!found.isEmpty() || now() >= end)) {
                        result.put("logline", logline);
                        break;
                    }
                    wait(serves(node) ? Math.max(1, end - now()) : 100);
                }
            }
            answer(exchange, 200, result);
        }

        synchronized JsonNode value(String key) {
            Entry entry = entries.get(key);
            return entry == null ? null : entry.value;
        }

        synchronized void lowerLimits() {
            writeRps = site.next[0];
            valueKb = site.next[1];
            txnOps = (int) site.next[2];
            log("TROUBLE the state service lowers its limits: write_rps " + writeRps + ", value_kb " + valueKb
                    + ", txn_ops " + txnOps);
        }
    }

    String leader() {
        JsonNode value = state.value("live/leader");
        return value == null ? null : value.path("node").asText();
    }

    // ---------------------------------------------------------------- cloud

    final class Cloud {
        final class Rental {
            String name;
            Type type;
            String zone;
            boolean driftwood;
            long rentedAt;
        }

        final TreeMap<String, Rental> rentals = new TreeMap<>();
        final Map<String, List<String>> charters = new HashMap<>();
        /** Free capacity by "type zone driftwood". */
        final Map<String, Integer> capacity = new HashMap<>();
        volatile double bootS = 1.5;
        String address;
        int count;

        void open() throws IOException {
            address = serve(this::handle);
        }

        private synchronized Rental rent(Type type, String zone, boolean driftwood) {
            Rental rental = new Rental();
            rental.name = String.format("vm-%06d", ++count);
            rental.type = type;
            rental.zone = zone;
            rental.driftwood = driftwood;
            rental.rentedAt = now();
            rentals.put(rental.name, rental);
            return rental;
        }

        /** A machine that is up at the start, and is on the list already. */
        void upAtStart(Type type, String zone) {
            Rental rental = rent(type, zone, false);
            rental.rentedAt = now() - (long) (site.listLagS * 1000);
            boot(rental);
        }

        private void boot(Rental rental) {
            synchronized (this) {
                if (rentals.get(rental.name) != rental) {
                    return;
                }
            }
            try {
                agents.put(rental.name, new Agent(rental.name, rental.type, rental.zone, rental.driftwood));
                log("machine up " + rental.name + " " + rental.type.name + " " + rental.zone);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        void handle(HttpExchange exchange, String path, Map<String, String> query, byte[] body) {
            if (path.equals("/flavors")) {
                ObjectNode result = map();
                ArrayNode list = result.putArray("breeds");
                for (Type type : site.types) {
                    ArrayNode zones = list.addObject()
                            .put("name", type.name)
                            .put("cpus", type.cpus)
                            .put("cards", 0.0)
                            .put("mem_gb", type.memGb)
                            .put("local_gb", 50.0)
                            .put("pull_gb_per_s", type.pullGbPerS)
                            .put("price", type.price)
                            .put("low_price", type.lowPrice)
                            .put("startup_s", type.startupS)
                            .putArray("shores");
                    for (String zone : site.zones) {
                        zones.add(zone);
                    }
                }
                answer(exchange, 200, result);
            } else if (path.equals("/rentals/return")) {
                ArrayNode names = (ArrayNode) parse(body).get("perches");
                for (JsonNode name : names) {
                    Rental rental;
                    synchronized (this) {
                        rental = rentals.remove(name.asText());
                    }
                    if (rental != null) {
                        capacity.merge(rental.type.name + " " + rental.zone + " " + rental.driftwood, 1, Integer::sum);
                        Agent agent = agents.remove(rental.name);
                        if (agent != null) {
                            agent.die();
                        }
                        log("cloud: returned " + rental.name);
                    }
                }
                answer(exchange, 200, map());
            } else if (exchange.getRequestMethod().equals("POST")) {
                rentals(exchange, parse(body));
            } else {
                ObjectNode result = map();
                ArrayNode list = result.putArray("perches");
                synchronized (this) {
                    for (Rental rental : rentals.tailMap(query.getOrDefault("from", ""), false).values()) {
                        if (now() - rental.rentedAt >= site.listLagS * 1000) {
                            Agent agent = agents.get(rental.name);
                            list.addObject()
                                    .put("name_id", rental.name)
                                    .put("endpoint", agent == null ? "127.0.0.1:9" : agent.address)
                                    .put("breed", rental.type.name)
                                    .put("shore", rental.zone)
                                    .put("driftwood", rental.driftwood)
                                    .put("tide", agent == null ? "booting" : "running")
                                    .put("held_s", (now() - rental.rentedAt) / 1000.0);
                        }
                    }
                }
                answer(exchange, 200, result.put("more", false));
            }
        }

        private synchronized void rentals(HttpExchange exchange, JsonNode body) {
            String charter = body.get("charter").asText();
            List<String> names = charters.get(charter);
            if (names == null) {
                Type type = site.types.stream()
                        .filter(t -> t.name.equals(body.get("breed").asText()))
                        .findFirst()
                        .orElseThrow();
                String kind = type.name + " " + body.get("shore").asText() + " " + body.get("driftwood").asBoolean();
                int granted = Math.min(body.get("count").asInt(), capacity.getOrDefault(kind, 0));
                if (granted == 0) {
                    answer(exchange, 503, map().put("error", "no capacity"));
                    return;
                }
                capacity.merge(kind, -granted, Integer::sum);
                names = new ArrayList<>();
                for (int i = 0; i < granted; i++) {
                    Rental rental = rent(type, body.get("shore").asText(), body.get("driftwood").asBoolean());
                    names.add(rental.name);
                    after(bootS, () -> boot(rental));
                }
                charters.put(charter, names);
                log("cloud: rented " + kind + " " + names);
            }
            ObjectNode result = map();
            ArrayNode list = result.putArray("perches");
            names.forEach(list::add);
            answer(exchange, 200, result);
        }
    }

    // ---------------------------------------------------------------- workers

    final class Agent {
        final class Leg {
            final String leg;
            final long launch;
            final Job job;
            final int index;
            String tide = "fetching";
            String cause;

            Leg(String leg, long launch) {
                this.leg = leg;
                this.launch = launch;
                this.job = jobs.get(leg.substring(0, leg.indexOf('/')));
                this.index = Integer.parseInt(leg.substring(leg.indexOf('/') + 1));
            }

            boolean holds() {
                return cause == null;
            }
        }

        final String name;
        final Type type;
        final String zone;
        final boolean driftwood;
        final String address;
        final Map<String, Leg> legs = new LinkedHashMap<>();
        final Set<String> kits = new HashSet<>();
        volatile boolean up = true;
        volatile boolean hung;
        /** While true, answers and direct commands to this worker are lost. */
        volatile boolean deaf;

        long flight = 1;
        long tally;
        long baton;
        long leaseAt = now();
        long sentAt = -10_000;
        boolean inFlight;
        String node;
        int schedule;

        Agent(String name, Type type, String zone, boolean driftwood) throws IOException {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.driftwood = driftwood;
            this.address = serve(this::handle);
            List<String> nodes = List.copyOf(publicAddr.keySet());
            node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
            schedule(0);
            leaseCheck();
        }

        synchronized void die() {
            up = false;
            killAll("machine gone");
        }

        private void killAll(String why) {
            for (Leg leg : legs.values()) {
                if (leg.holds()) {
                    boolean ran = leg.tide.equals("running");
                    leg.cause = "killed";
                    if (ran) {
                        onEnd(this, leg.job, leg.index, false, why);
                    }
                }
            }
            legs.clear();
        }

        private void leaseCheck() {
            after(0.05, () -> {
                if (!up) {
                    return;
                }
                synchronized (this) {
                    if (!hung && now() - leaseAt > site.leaseS * 1000) {
                        killAll("lease expired");
                        flight++;
                        leaseAt = now();
                        log(name + " lease expired, flight " + flight);
                        soon();
                    }
                }
                leaseCheck();
            });
        }

        private synchronized void schedule(double delay) {
            int number = ++schedule;
            after(delay, () -> {
                synchronized (this) {
                    if (number != schedule) {
                        return;
                    }
                }
                beat();
            });
        }

        private synchronized void soon() {
            if (!inFlight) {
                schedule(Math.max(0, 500 - (now() - sentAt)) / 1000.0);
            }
        }

        private ObjectNode report() {
            ObjectNode node = map()
                    .put("perch", name)
                    .put("endpoint", address)
                    .put("breed", type.name)
                    .put("shore", zone)
                    .put("driftwood", driftwood)
                    .put("flight", flight)
                    .put("tally", ++tally)
                    .put("baton", baton)
                    .putNull("warning_s");
            ArrayNode list = node.putArray("legs");
            for (Leg leg : legs.values()) {
                ObjectNode item = list.addObject().put("leg", leg.leg).put("launch", leg.launch).put("tide", leg.tide);
                if (leg.cause != null) {
                    item.put("cause", leg.cause);
                }
            }
            return node;
        }

        private void beat() {
            byte[] body;
            long sent;
            long sentFlight;
            String to;
            synchronized (this) {
                if (!up || inFlight) {
                    return;
                }
                if (hung) {
                    schedule(0.2);
                    return;
                }
                inFlight = true;
                sent = sentAt = now();
                sentFlight = flight;
                to = node;
                body = bytes(report());
            }
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + publicAddr.get(to) + "/agent/beat"))
                    .timeout(Duration.ofSeconds(4))
                    .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                    .build();
            http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                    .whenComplete((response, error) -> onAnswer(to, sent, sentFlight, response));
        }

        private synchronized void onAnswer(
                String from, long sent, long sentFlight, HttpResponse<byte[]> response) {
            inFlight = false;
            if (!up) {
                return;
            }
            if (response == null || deaf || hung || now() - sent > 4000) {
                next(from);
                schedule(1);
                return;
            }
            if (response.statusCode() == 200) {
                JsonNode body = parse(response.body());
                if (sentFlight == flight && body.path("baton").asLong(-1) >= baton) {
                    leaseAt = sent;
                    baton = body.path("baton").asLong();
                    body.path("calls").forEach(this::execute);
                }
                schedule(site.reportS * (0.75 + ThreadLocalRandom.current().nextDouble() / 2));
                return;
            }
            if (response.statusCode() == 421) {
                String roost = parse(response.body()).path("roost").asText("");
                if (publicAddr.containsKey(roost) && !roost.equals(from)) {
                    node = roost;
                    schedule(ThreadLocalRandom.current().nextDouble() / 2);
                    return;
                }
            }
            next(from);
            schedule(1);
        }

        private void next(String from) {
            List<String> nodes = List.copyOf(publicAddr.keySet());
            node = nodes.get((nodes.indexOf(from) + 1) % nodes.size());
        }

        void handle(HttpExchange exchange, String path, Map<String, String> query, byte[] body) throws Exception {
            while (up && (hung || deaf)) {
                if (deaf) {
                    Thread.sleep(10_000);
                    exchange.close();
                    return;
                }
                Thread.sleep(50);
            }
            if (!up) {
                exchange.close();
                return;
            }
            synchronized (this) {
                if (path.equals("/inspect")) {
                    answer(exchange, 200, report());
                    return;
                }
                JsonNode message = parse(body);
                if (!message.has("baton") || !message.has("flight")) {
                    answer(exchange, 400, null);
                } else if (message.get("baton").asLong() < baton || message.get("flight").asLong() != flight) {
                    answer(exchange, 409, report());
                } else {
                    boolean higher = message.get("baton").asLong() > baton;
                    baton = message.get("baton").asLong();
                    message.path("calls").forEach(this::execute);
                    answer(exchange, 200, report());
                    if (higher || !message.path("calls").isEmpty()) {
                        soon();
                    }
                }
            }
        }

        private void execute(JsonNode call) {
            String id = call.get("leg").asText();
            long launch = call.get("launch").asLong();
            String key = id + "#" + launch;
            Leg leg = legs.get(key);
            switch (call.get("call").asText()) {
                case "start" -> {
                    if (leg == null) {
                        start(key, new Leg(id, launch));
                    }
                }
                case "halt" -> {
                    if (leg != null && leg.holds()) {
                        end(leg, "halted");
                    }
                }
                case "forget" -> {
                    if (leg != null && !leg.holds()) {
                        legs.remove(key);
                    }
                }
                default -> log("unknown command " + call);
            }
        }

        private void start(String key, Leg leg) {
            if (leg.job == null) {
                leg.tide = "ended";
                leg.cause = "no_such";
                legs.put(key, leg);
                return;
            }
            double cpus = 0;
            double memGb = 0;
            boolean busy = false;
            for (Leg other : legs.values()) {
                if (other.holds()) {
                    cpus += other.job.cpus;
                    memGb += other.job.memGb;
                    busy |= other.leg.equals(leg.leg);
                }
            }
            legs.put(key, leg);
            if (busy || cpus + leg.job.cpus > type.cpus + 1e-6 || memGb + leg.job.memGb > type.memGb + 1e-6) {
                leg.tide = "ended";
                leg.cause = busy ? "busy" : "full";
                return;
            }
            double fetch = kits.contains(leg.job.kit) ? 0 : leg.job.imageGb / type.pullGbPerS;
            if (fetch == 0) {
                run(leg);
            } else {
                after(fetch, () -> {
                    synchronized (this) {
                        kits.add(leg.job.kit);
                        if (up && leg.holds() && legs.get(key) == leg) {
                            run(leg);
                            soon();
                        }
                    }
                });
            }
        }

        private void run(Leg leg) {
            if (leg.job.done.contains(leg.index)) {
                end(leg, "done");
                return;
            }
            leg.tide = "running";
            onStart(this, leg.job, leg.index, leg.launch);
            after(leg.job.runS, () -> {
                synchronized (this) {
                    if (up && leg.holds()) {
                        end(leg, "done");
                    }
                }
            });
        }

        private void end(Leg leg, String cause) {
            boolean ran = leg.tide.equals("running");
            leg.tide = "ended";
            leg.cause = cause;
            if (ran) {
                onEnd(this, leg.job, leg.index, cause.equals("done"), cause);
            }
            soon();
        }

        synchronized double[] free() {
            double[] free = {type.cpus, type.memGb};
            for (Leg leg : legs.values()) {
                if (leg.holds() && leg.job != null) {
                    free[0] -= leg.job.cpus;
                    free[1] -= leg.job.memGb;
                }
            }
            return free;
        }
    }

    private void onStart(Agent agent, Job job, int index, long launch) {
        synchronized (jobs) {
            job.startableSince = 0;
            Set<String> on = job.on.computeIfAbsent(index, i -> new HashSet<>());
            log("start " + job.id + "/" + index + " launch " + launch + " on " + agent.name);
            if (!on.isEmpty()) {
                violation("ran_twice", job.id + "/" + index + " starts on " + agent.name + " while on " + on);
            }
            if (job.cancelledAt != 0) {
                log("note: start after the confirmed cancellation of " + job.id);
                if (now() - job.cancelledAt > site.cancelS * 1000) {
                    violation("ran_cancelled", job.id + "/" + index + " starts on " + agent.name);
                }
            }
            on.add(agent.name);
            double used = usedBy(job.crew);
            for (Team team : site.teams) {
                if (team.name.equals(job.crew) && team.cpusMax > 0 && used > team.cpusMax + 1e-6) {
                    violation("quota", job.crew + " uses " + used + " of " + team.cpusMax);
                }
            }
        }
    }

    private double usedBy(String crew) {
        double used = 0;
        for (Job job : jobs.values()) {
            if (job.crew.equals(crew)) {
                for (Set<String> on : job.on.values()) {
                    used += on.size() * job.cpus;
                }
            }
        }
        return used;
    }

    private void onEnd(Agent agent, Job job, int index, boolean done, String why) {
        synchronized (jobs) {
            job.on.getOrDefault(index, new HashSet<>()).remove(agent.name);
            if (done) {
                job.done.add(index);
            }
            log("end " + job.id + "/" + index + " on " + agent.name + " " + why);
        }
    }

    // ---------------------------------------------------------------- controllers

    void open() throws Exception {
        for (int i = 0; i < 3; i++) {
            publicAddr.put("perch-" + i, freeAddress());
            meshAddr.put("perch-" + i, freeAddress());
        }
        state.open();
        cloud.open();
        for (String node : publicAddr.keySet()) {
            Files.writeString(dir.resolve(node + ".toml"), settings(node));
        }
        timers.scheduleWithFixedDelay(this::probe, 200, 1000, TimeUnit.MILLISECONDS);
    }

    private String settings(String node) {
        List<String> nodes = List.copyOf(publicAddr.keySet());
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"" + node + "\"\nsite = \"" + site.nodeZones[nodes.indexOf(node)] + "\"\n");
        text.append("public_addr = \"" + publicAddr.get(node) + "\"\nmesh_addr = \"" + meshAddr.get(node) + "\"\n");
        for (String peer : nodes) {
            if (!peer.equals(node)) {
                text.append("\n[[seeds]]\nnode_name = \"" + peer + "\"\nsite = \""
                        + site.nodeZones[nodes.indexOf(peer)] + "\"\naddr = \"" + meshAddr.get(peer) + "\"\n");
            }
        }
        text.append("\n[external]\ncloud = \"" + cloud.address + "\"\nstate = \"" + state.addresses.get(node) + "\"\n");
        text.append("\n[facts]\ncount = 3\nzones = [\"" + String.join("\", \"", site.zones)
                + "\"]\nclock_off_ms = 25.0\n");
        for (Team team : site.teams) {
            text.append("\n[[facts.teams]]\nname = \"" + team.name + "\"\ncpus = " + team.cpus + "\ncpus_max = "
                    + team.cpusMax + "\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("\n[facts.workers]\nreport_s = " + site.reportS + "\nlease_s = " + site.leaseS + "\ncancel_s = "
                + site.cancelS + "\n");
        text.append("\n[facts.state]\nrps = " + site.rps + "\nwrite_rps = " + site.writeRps + "\nvalue_kb = "
                + site.valueKb + "\ntxn_ops = " + site.txnOps + "\n");
        if (site.next != null) {
            text.append("\n[facts.state.next]\nwrite_rps = " + site.next[0] + "\nvalue_kb = " + site.next[1]
                    + "\ntxn_ops = " + (int) site.next[2] + "\n");
        }
        text.append("\n[facts.cloud]\nrps = " + site.cloudRps + "\nlist_lag_s = " + site.listLagS + "\n");
        text.append("\n[facts.quota]\ncpu = " + site.cpuShare + "\nmem_mb = 320.0\nsockets = " + site.sockets + "\n");
        return text.toString();
    }

    void startController(String node) throws IOException {
        String line = Files.readAllLines(root.resolve("deploy/service.toml")).stream()
                .filter(l -> l.startsWith("run"))
                .findFirst()
                .orElseThrow();
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(dir.resolve(node + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(dir.resolve(node + ".log").toFile()));
        Process process = builder.start();
        processes.put(node, process);
        log("controller " + node + " starts");
        process.onExit().thenAccept(exited -> {
            if (processes.remove(node, exited)) {
                violation("crash", node + " ended by itself with code " + exited.exitValue());
            }
        });
    }

    void kill(String node) {
        Process process = processes.remove(node);
        process.destroyForcibly();
        log("TROUBLE controller " + node + " is killed");
    }

    void signal(String node, String signal) throws IOException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(node).pid())).start();
        log("TROUBLE signal " + signal + " to " + node);
    }

    private void probe() {
        publicAddr.forEach((node, address) -> request("GET", address, "/up", null, 1)
                .thenAccept(response -> {
                    boolean ok = response != null && response.statusCode() == 200;
                    if (!Boolean.valueOf(ok).equals(healthy.put(node, ok))) {
                        log(node + (ok ? " is healthy" : " is not healthy"));
                    }
                }));
    }

    boolean allHealthy() {
        return publicAddr.keySet().stream().allMatch(node -> healthy.getOrDefault(node, false));
    }

    boolean waitFor(double seconds, Predicate<World> condition) throws InterruptedException {
        long end = now() + (long) (seconds * 1000);
        while (now() < end) {
            if (condition.test(this)) {
                return true;
            }
            Thread.sleep(50);
        }
        return condition.test(this);
    }

    // ---------------------------------------------------------------- users

    CompletableFuture<HttpResponse<byte[]>> request(
            String method, String address, String path, byte[] body, double timeoutS) {
        HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
                .method(method, publisher)
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).exceptionally(e -> null);
    }

    /** A healthy node, as the load balancer chooses one. */
    String balance() {
        List<String> nodes = publicAddr.keySet().stream()
                .filter(node -> healthy.getOrDefault(node, false))
                .toList();
        return nodes.isEmpty() ? "perch-0" : nodes.get(turn.getAndIncrement() % nodes.size());
    }

    Job job(String id, String herd, String crew, String rank, int legs, double cpus, double memGb, double imageGb, double runS) {
        ObjectNode body = map()
                .put("name_id", id)
                .put("herd", herd)
                .put("crew", crew)
                .put("shape", "array")
                .put("rank", rank)
                .put("legs", legs)
                .put("cpus", cpus)
                .put("cards", 0.0)
                .put("mem_gb", memGb)
                .put("kit", "img-" + herd)
                .put("image_gb", imageGb);
        body.putNull("breeds").putNull("shore").put("same_place", false).put("spread", false).put("driftwood", true);
        body.put("reckon_s", runS).put("waypoint_s", 0.0).put("stow_s", 0.0).putNull("landfall_s");
        return new Job(body, runS);
    }

    /** Submits the job through the load balancer, or to one node, and repeats the request for 60 s until it is accepted. */
    void submit(Job job, String node) {
        jobs.put(job.id, job);
        log("job " + job.body);
        submit(job, node, now());
    }

    private void submit(Job job, String node, long since) {
        String to = node == null ? balance() : node;
        request("POST", publicAddr.get(to), "/v2/runs", bytes(job.body), 5).thenAccept(response -> {
            int status = response == null ? 0 : response.statusCode();
            log("submit " + job.id + " at " + to + " answered " + status);
            if (status == 200 || status == 201) {
                boolean first = job.acceptedAt == 0;
                job.acceptedAt = first ? now() : job.acceptedAt;
                job.tide = parse(response.body()).path("tide").asText();
                if (first) {
                    poll(job);
                }
            } else if (status == 400 || status == 422) {
                log("refused " + job.id);
                if (job.acceptedAt != 0) {
                    violation("forgotten", job.id + " submitted again gets " + status);
                }
            } else if (now() - since < 60_000) {
                after(1, () -> submit(job, node, since));
            }
        });
    }

    private void poll(Job job) {
        after(5, () -> {
            String to = balance();
            request("GET", publicAddr.get(to), "/v2/runs/" + job.id, null, 2).thenAccept(response -> {
                int status = response == null ? 0 : response.statusCode();
                JsonNode body = status == 200 ? parse(response.body()) : null;
                log("poll " + job.id + " at " + to + " answered " + status + (body == null ? "" : " " + body));
                if (status == 404) {
                    violation("forgotten", job.id + " gets 404 at " + to);
                }
                if (body != null) {
                    onTide(job, body.path("tide").asText(), to);
                }
                if (!job.ended()) {
                    poll(job);
                }
            });
        });
    }

    void onTide(Job job, String tide, String from) {
        if (job.ended() && !tide.equals(job.tide)) {
            violation("went_back", job.id + " was " + job.tide + ", then " + tide + " at " + from);
        }
        if (tide.equals("done") && job.done.size() < job.legs) {
            violation("not_done", job.id + " is called done with " + job.done.size() + " of " + job.legs);
        }
        if (!job.ended()) {
            job.tide = tide;
            if (tide.equals("aborted")) {
                job.cancelledAt = now();
            }
        }
    }

    /**
     * The rule on waiting: called every second once the troubles are over. A job breaks it if for 90 s it has a task
     * that is not running, a machine that is up and allowed has room for the task, its team is under its limit, and none
     * of its tasks starts.
     */
    void checkWaiting() {
        synchronized (jobs) {
            for (Job job : jobs.values()) {
                long running = job.on.values().stream().filter(on -> !on.isEmpty()).count();
                double limit = site.teams.stream()
                        .filter(team -> team.name.equals(job.crew))
                        .mapToDouble(Team::cpusMax)
                        .findFirst()
                        .orElse(0);
                boolean startable = job.acceptedAt != 0
                        && !job.ended()
                        && !job.cancelAsked
                        && job.done.size() + running < job.legs
                        && usedBy(job.crew) + job.cpus <= limit + 1e-6
                        && agents.values().stream().anyMatch(agent -> {
                            double[] free = agent.free();
                            return agent.up
                                    && (job.driftwood || !agent.driftwood)
                                    && free[0] >= job.cpus - 1e-9
                                    && free[1] >= job.memGb - 1e-9;
                        });
                if (!startable) {
                    job.startableSince = 0;
                } else if (job.startableSince == 0) {
                    job.startableSince = now();
                } else if (now() - job.startableSince > 90_000) {
                    violation("left_waiting", job.id + " waits, with room on a machine, since "
                            + job.startableSince / 1000.0 + " s; " + job.done.size() + " of " + job.legs + " done, "
                            + running + " running");
                    job.startableSince = Long.MAX_VALUE / 2;
                }
            }
        }
    }

    void checkWaitingEverySecond() {
        timers.scheduleWithFixedDelay(this::checkWaiting, 0, 1000, TimeUnit.MILLISECONDS);
    }

    /** Copies lines of the controllers' logs into the record. */
    void recordLogs(Predicate<String> wanted, int most) throws IOException {
        for (String node : publicAddr.keySet()) {
            Path file = dir.resolve(node + ".log");
            if (Files.exists(file)) {
                List<String> lines = Files.readAllLines(file).stream().filter(wanted).toList();
                record.println("-- " + node + ": " + lines.size() + " log lines, the first " + Math.min(most, lines.size()));
                lines.stream().limit(most).forEach(record::println);
            }
        }
    }

    @Override
    public void close() throws Exception {
        List<Process> running = List.copyOf(processes.values());
        processes.clear();
        running.forEach(Process::destroyForcibly);
        for (Process process : running) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
        timers.shutdownNow();
        servers.forEach(server -> server.stop(0));
        record.flush();
        try (Stream<Path> files = Files.walk(dir)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
