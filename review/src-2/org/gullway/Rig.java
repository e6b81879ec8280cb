package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeCloud;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.FaultyLink;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/**
 * Three controllers in processes of their own, started with the command of the deploy file, and the project's
 * stand-ins of the state service, the cloud and the workers on one event loop of this process. The settings are those of
 * a small deployment ({@link Site}). All methods that are not marked otherwise are called on the main thread.
 */
final class Rig implements AutoCloseable {
    static final List<String> NODES = List.of("perch-0", "perch-1", "perch-2");

    /** The figures of a site file that the settings and the stand-ins need. */
    record Site(
            List<String> zones,
            double reportS,
            double leaseS,
            double cancelS,
            double rps,
            double writeRps,
            int txnOps,
            double cloudRps,
            double listLagS,
            String teams,
            MachineType type) {
        static Site dongXanh(double bootS) {
            List<String> zones = List.of("ba-vi", "moc-chau", "cu-chi");
            return new Site(
                    zones,
                    3,
                    22,
                    47,
                    100,
                    40,
                    32,
                    6,
                    3,
                    team("dieu-phoi", 336, 568) + team("tai-chinh", 336, 992),
                    new MachineType(
                            "trau-32", 32, 0, 128, 30, 0.8, 1.61, 0.45, Duration.ofMillis((long) (bootS * 1000)), zones));
        }

        static String team(String name, double cpus, double cpusMax) {
            return "[[facts.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
                    + "\ngpus = 0.0\ngpus_max = 0.0\n";
        }
    }

    /** What the workers report to this class; called on the event loop. */
    interface Observer {
        default void started(String machine, String task) {}

        default void ended(String machine, String task, boolean done) {}

        /** A controller asks the cloud to take these machines back; called before the cloud does it. */
        default void returned(String controller, List<String> machines) {}

        /** A controller sends commands to a machine. */
        default void commands(String machine, JsonNode body) {}
    }

    private final Site site;
    private final Observer observer;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final SplittableRandom random = new SplittableRandom(1);
    private final Path directory;
    private final LoopbackTransport transport;
    final StoppableEventLoop loop;
    final HttpClient client;
    final FakeStateStore store;
    final FakeCloud cloud;
    final Map<String, FaultyLink> links = new TreeMap<>();
    final Map<String, String> publicAddresses = new LinkedHashMap<>();
    private final Map<String, String> meshAddresses = new LinkedHashMap<>();
    private final List<ReservedAddress> reserved = new ArrayList<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<String> command;
    /** Jobs as submitted, by id; written on the main thread before the submission is sent. */
    private final Map<String, JobRequest> jobs = new java.util.concurrent.ConcurrentHashMap<>();
    private final Map<String, Duration> runTimes = new java.util.concurrent.ConcurrentHashMap<>();
    /** Running tasks by machine; used on the event loop. */
    final Map<String, TreeSet<String>> running = new HashMap<>();
    private final TreeSet<String> completed = new TreeSet<>();
    /** Is added to the number of every message of the workers; set before the machines boot. */
    BigInteger tallyBase = BigInteger.ZERO;
    /** Whether the cloud has an outage: it answers every request with 503 {"error":"trouble"}. */
    volatile boolean cloudOut;

    Rig(Site site, int capacity, Path recordFile, Observer observer) throws IOException {
        this.site = site;
        this.observer = observer;
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
        this.directory = Files.createTempDirectory("gullway-review");
        this.transport = new LoopbackTransport();
        this.loop = transport.loop();
        this.client = transport.client();
        this.command = runCommand();
        for (String node : NODES) {
            publicAddresses.put(node, reserve());
            meshAddresses.put(node, reserve());
        }
        this.store = new FakeStateStore(loop);
        this.cloud = new FakeCloud(loop, List.of(site.type()), capacity, this::boot);
    }

    private String reserve() {
        ReservedAddress address = ReservedAddress.reserve();
        reserved.add(address);
        return address.toString();
    }

    /** The words of {@code run} in the deploy file, with this process's java executable. */
    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/service.toml names no command");
    }

    private FakeAgent boot(String name, FakeAgent.Kind kind) {
        FakeAgent[] agent = new FakeAgent[1];
        FaultyLink down = link("controllers>" + name);
        String address = transport.listen(down.wrapHandler("", exchange -> {
            if (exchange.body() != null && exchange.path().equals("/do")) {
                try {
                    observer.commands(name, Cbor.decode(exchange.body()));
                } catch (MalformedMessageException e) {
                    note("commands that cannot be read machine=" + name);
                }
            }
            agent[0].handle(withTally((SimulatedNetwork.Message) exchange));
        }));
        agent[0] = new FakeAgent(
                loop,
                link(name + ">controllers").wrapClient(this::sendReport),
                new Workers(),
                random.split(),
                new FakeAgent.Machine(name, address, kind),
                publicAddresses,
                new FakeAgent.Timing(ofSeconds(site.reportS()), ofSeconds(site.leaseS())));
        note("machine up machine=" + name + " zone=" + kind.zone() + " spot=" + kind.spot());
        return agent[0];
    }

    /** Sends a report of a worker, numbered from the base on. */
    private void sendReport(String address, HttpRequest request, Consumer<HttpResponse> callback) {
        client.call(
                address,
                new HttpRequest(request.method(), request.path(), numbered(request.body()), request.timeout()),
                callback);
    }

    private SimulatedNetwork.Message withTally(SimulatedNetwork.Message message) {
        return new SimulatedNetwork.Message(
                message.from(),
                message.method(),
                message.path(),
                message.query(),
                message.body(),
                response -> message.reply()
                        .accept(new HttpResponse(response.outcome(), response.status(), numbered(response.body()))));
    }

    /** The report with its number raised by the base. */
    private byte[] numbered(byte[] report) {
        try {
            if (tallyBase.signum() == 0 || report.length == 0) {
                return report;
            }
            ObjectNode node = Cbor.decode(report);
            if (node.has("tally")) {
                node.put("tally", tallyBase.add(node.path("tally").bigIntegerValue()));
            }
            return Cbor.encode(node);
        } catch (MalformedMessageException e) {
            return report;
        }
    }

    private static Duration ofSeconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    private final class Workers implements FakeAgent.Environment {
        @Override
        public JobRequest jobOf(String job) {
            return jobs.get(job);
        }

        @Override
        public Duration runTime(String job) {
            return runTimes.get(job);
        }

        @Override
        public boolean isCompleted(String task) {
            return completed.contains(task);
        }

        @Override
        public void onTaskStarted(String machine, String task) {
            running.computeIfAbsent(machine, m -> new TreeSet<>()).add(task);
            note("task starts task=" + task + " machine=" + machine);
            observer.started(machine, task);
        }

        @Override
        public void onTaskEnded(String machine, String task, boolean done) {
            running.computeIfAbsent(machine, m -> new TreeSet<>()).remove(task);
            if (done) {
                completed.add(task);
            }
            note("task ends task=" + task + " machine=" + machine + " done=" + done);
            observer.ended(machine, task, done);
        }
    }

    FaultyLink link(String name) {
        return links.computeIfAbsent(name, n -> new FaultyLink(loop, random.split()));
    }

    /** Starts the stand-ins' servers and the controllers, and waits until all three serve users. */
    void start() throws Exception {
        onLoop(() -> {
            for (String node : NODES) {
                String state = transport.listen(link(node + ">state").wrapHandler(node, store::handle));
                String cloudAddress =
                        transport.listen(link(node + ">cloud").wrapHandler(node, exchange -> serveCloud(node, exchange)));
                StringBuilder seeds = new StringBuilder();
                for (String peer : NODES) {
                    if (!peer.equals(node)) {
                        String address = transport.listen(link(node + ">" + peer)
                                .forwarder(meshAddresses.get(peer), client, Duration.ofSeconds(4)));
                        seeds.append("[[seeds]]\nnode_name = \"" + peer + "\"\nsite = \"" + zoneOf(peer)
                                + "\"\naddr = \"" + address + "\"\n");
                    }
                }
                write(node, settings(node, seeds.toString(), state, cloudAddress));
            }
            return null;
        });
        for (String node : NODES) {
            startController(node);
        }
        waitFor("all controllers are up", 25, () -> {
            for (String node : NODES) {
                if (call(node, "GET", "/up", null, 1).status() != 200) {
                    return false;
                }
            }
            return true;
        });
        note("all controllers are up leader=" + leader());
    }

    private void serveCloud(String node, HttpExchange exchange) {
        if (cloudOut) {
            exchange.respond(503, Cbor.encode(Cbor.map().put("error", "trouble")));
            return;
        }
        if (exchange.path().equals("/rentals/return")) {
            List<String> names = new ArrayList<>();
            try {
                Cbor.decode(exchange.body()).path("perches").forEach(name -> names.add(name.asText()));
            } catch (MalformedMessageException e) {
                note("return that cannot be read controller=" + node);
            }
            observer.returned(node, names);
        }
        cloud.handle(exchange);
    }

    private String zoneOf(String node) {
        return site.zones().get(NODES.indexOf(node) % site.zones().size());
    }

    private String settings(String node, String seeds, String state, String cloudAddress) {
        return "node_name = \"" + node + "\"\nsite = \"" + zoneOf(node) + "\"\npublic_addr = \""
                + publicAddresses.get(node) + "\"\nmesh_addr = \"" + meshAddresses.get(node) + "\"\n" + seeds
                + "[external]\ncloud = \"" + cloudAddress + "\"\nstate = \"" + state + "\"\n[facts]\ncount = 3\nzones = [\""
                + String.join("\", \"", site.zones()) + "\"]\nclock_off_ms = 25.0\n" + site.teams()
                + "[facts.workers]\nreport_s = " + site.reportS() + "\nlease_s = " + site.leaseS()
                + "\ngang_wait_s = 50.0\ngang_peer_s = 5.0\ncancel_s = " + site.cancelS() + "\n[facts.state]\nrps = "
                + site.rps() + "\nwrite_rps = " + site.writeRps() + "\nvalue_kb = 16.0\ntxn_ops = " + site.txnOps()
                + "\n[facts.cloud]\nrps = " + site.cloudRps() + "\nlist_lag_s = " + site.listLagS()
                + "\n[facts.quota]\ncpu = 0.34\nmem_mb = 320.0\nsockets = 2500\n";
    }

    private void write(String node, String text) {
        try {
            Files.writeString(directory.resolve(node + ".toml"), text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    void startController(String node) throws IOException {
        List<String> words = new ArrayList<>(command);
        words.add(directory.resolve(node + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(node + ".log").toFile()));
        processes.put(node, builder.start());
        note("controller started controller=" + node);
    }

    void kill(String node) throws InterruptedException {
        Process process = processes.remove(node);
        process.destroyForcibly();
        process.waitFor();
        note("controller killed controller=" + node);
    }

    boolean isAlive(String node) {
        return processes.get(node).isAlive();
    }

    /** Stops the process (STOP) or lets it go on (CONT). */
    void signal(String node, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(node).pid()))
                .start()
                .waitFor();
        note("signal " + signal + " controller=" + node);
    }

    /** The leader on record; any thread but the event loop. */
    String leader() throws Exception {
        return onLoop(() -> {
            JsonNode leader = store.value("live/leader");
            return leader == null ? "none" : leader.path("node").asText();
        });
    }

    /** Whether the state service has a member key of the controller; on the event loop. */
    boolean isMember(String node) {
        return store.value("live/members/" + node) != null;
    }

    /** Runs the action on the event loop and returns its result. */
    <T> T onLoop(Supplier<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(action.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(10, TimeUnit.SECONDS);
    }

    /** Sends a request of a user and waits for the answer. */
    HttpResponse call(String node, String method, String path, byte[] body, double timeoutS) throws Exception {
        return send(node, method, path, body, timeoutS).get(10, TimeUnit.SECONDS);
    }

    /** Sends a request of a user. */
    CompletableFuture<HttpResponse> send(String node, String method, String path, byte[] body, double timeoutS) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        loop.execute(() -> client.call(
                publicAddresses.get(node),
                new HttpRequest(method, path, body == null ? new byte[0] : body, ofSeconds(timeoutS)),
                answer::complete));
        return answer;
    }

    static String text(HttpResponse response) {
        if (response.outcome() != HttpResponse.Outcome.ANSWERED) {
            return response.outcome().toString();
        }
        try {
            return response.status() + (response.body().length == 0 ? "" : " " + Cbor.decode(response.body()));
        } catch (MalformedMessageException e) {
            return response.status() + " unreadable";
        }
    }

    static String tide(HttpResponse response) {
        try {
            return response.body().length == 0 ? "" : Cbor.decode(response.body()).path("tide").asText();
        } catch (MalformedMessageException e) {
            return "";
        }
    }

    /** A submission like those of the site's classes. */
    static ObjectNode job(String id, String herd, String crew, String rank, int legs, double cpus, double memGb) {
        return Cbor.map()
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
                .put("image_gb", 0.5)
                .putNull("breeds")
                .putNull("shore")
                .put("same_place", false)
                .put("spread", false)
                .put("driftwood", true)
                .put("reckon_s", 60.0)
                .put("waypoint_s", 0.0)
                .put("stow_s", 0.0)
                .putNull("landfall_s");
    }

    /** Makes the job known to the workers; its tasks run for this time. */
    void upload(ObjectNode job, double runS) throws MalformedMessageException {
        JobRequest request = JobRequest.parse(job);
        jobs.put(request.id(), request);
        runTimes.put(request.id(), ofSeconds(runS));
    }

    /** Submits a job as a user does: repeats the request after 1 s until it is accepted, for up to 20 s. */
    void submit(String node, ObjectNode job, double runS) throws Exception {
        upload(job, runS);
        String id = job.path("name_id").asText();
        for (int i = 0; i < 20; i++) {
            HttpResponse answer = call(node, "POST", "/v2/runs", Cbor.encode(job), 5);
            note("submitted job=" + id + " controller=" + node + " answer=" + text(answer));
            if (answer.status() == 201 || answer.status() == 200) {
                return;
            }
            Thread.sleep(1000);
        }
        throw new CannotRunException("the job was not accepted: " + id);
    }

    /** Thrown if the case cannot run, so that nothing can be said about the rule. */
    static final class CannotRunException extends Exception {
        private static final long serialVersionUID = 1;

        CannotRunException(String message) {
            super(message);
        }
    }

    interface Check {
        boolean holds() throws Exception;
    }

    void waitFor(String what, double seconds, Check check) throws Exception {
        long deadline = System.nanoTime() + (long) (seconds * 1e9);
        while (!check.holds()) {
            if (System.nanoTime() > deadline) {
                throw new CannotRunException("not within " + seconds + " s: " + what);
            }
            Thread.sleep(20);
        }
    }

    /** Waits until this many tasks run. */
    void waitForRunning(int tasks, double seconds) throws Exception {
        waitFor(
                tasks + " tasks run",
                seconds,
                () -> onLoop(() -> running.values().stream().mapToInt(TreeSet::size).sum()) >= tasks);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes a line into the record; any thread. */
    void note(String text) {
        String line = String.format("%8.3f %s", seconds(), text);
        synchronized (record) {
            record.println(line);
            record.flush();
        }
    }

    /** Appends the lines of the controllers' logs that contain one of these texts to the record. */
    void noteLogs(String... texts) throws IOException {
        for (String node : NODES) {
            Path log = directory.resolve(node + ".log");
            if (Files.exists(log)) {
                for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
                    if (Stream.of(texts).anyMatch(line::contains)) {
                        note("log of " + node + ": " + line);
                    }
                }
            }
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        loop.stop();
        for (Process process : processes.values()) {
            process.destroyForcibly();
            process.waitFor();
        }
        transport.close();
        for (ReservedAddress address : reserved) {
            address.close();
        }
        record.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** The body of a case; returns whether the rule held. */
    interface Body {
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void runCase(Site site, int capacity, Path recordFile, Observer observer, Consumer<Rig> onCreated, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(site, capacity, recordFile, observer)) {
            onCreated.accept(rig);
            Thread hook = new Thread(() -> rig.processes.values().forEach(Process::destroyForcibly));
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                rig.note("trouble=" + trouble);
                rig.start();
                boolean held = body.run(rig, trouble);
                rig.note(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
                code = held ? 0 : 1;
            } catch (CannotRunException | TimeoutException | ExecutionException e) {
                rig.note("RESULT: the case could not run: " + e);
                rig.noteLogs("ERROR", "joined");
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
