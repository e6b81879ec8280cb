package org.gullway;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeCloud;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.FaultyLink;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Settings;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpServer;
import org.gullway.transport.SocketBudget;
import org.gullway.transport.UndertowHttpClient;
import org.gullway.transport.XnioEventLoop;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Three controllers as processes of their own on loopback, with the stand-ins of state service, cloud and workers behind
 * real sockets in this process. Everything except starting and ending it runs on its event loop.
 */
final class LoopbackCluster implements AutoCloseable {
    static final Duration LEASE = Duration.ofSeconds(4);
    static final Duration CANCEL = Duration.ofSeconds(12);
    private static final Duration PEER_LIMIT = Duration.ofSeconds(4);
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final String OPERATOR_SETTINGS = "operator.xml";
    private static final int BODY_LIMIT = 64 * 1024;
    private static final int SOCKETS = 10_000;

    /**
     * What a cluster is made of.
     *
     * @param capacity machines of each type, zone and kind
     * @param spareServers servers for machines that are started beforehand, since to start one takes a while
     * @param command starts a controller, up to its options
     */
    record Setup(
            Duration heartbeatInterval,
            Duration lease,
            Duration cancel,
            Duration membership,
            int capacity,
            Map<String, Settings.Team> teams,
            int spareServers,
            List<String> command,
            String logLevel) {

        /** A few machines, short leases, and controllers from the classes of this process that log everything. */
        static Setup small() {
            return new Setup(
                    Duration.ofMillis(500),
                    LEASE,
                    CANCEL,
                    Duration.ofSeconds(2),
                    4,
                    SimulatedCluster.Shape.SMALL_TEAMS,
                    40,
                    List.of(
                            java(),
                            "-Xmx96m",
                            "-Xss512k",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "org.gullway.Main"),
                    "debug");
        }

        /** The java program that runs this process. */
        static String java() {
            return Path.of(System.getProperty("java.home"), "bin", "java").toString();
        }
    }

    private final Setup setup;
    final StoppableEventLoop loop;
    private final UndertowHttpClient client;
    final FakeStateStore store;
    final FakeCloud cloud;
    /** By the names of both parties, "from>to"; workers have one link to all controllers and one from them. */
    final Map<String, FaultyLink> links = new TreeMap<>();

    private final XnioWorker worker;
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192);
    private final SocketBudget socketBudget = new SocketBudget(SOCKETS);
    private final SplittableRandom random;
    private final List<HeldAddress> held = new ArrayList<>();
    private final Map<String, String> publicAddresses = new LinkedHashMap<>();
    private final Map<String, String> meshAddresses = new LinkedHashMap<>();
    private final Map<String, Process> processes = new ConcurrentSkipListMap<>();
    private final Deque<SpareServer> spareServers = new ArrayDeque<>();
    /** Starts and signals processes, which takes long beside what the event loop does. */
    private final ExecutorService starter = Executors.newSingleThreadExecutor();

    private final Path directory;
    private final Consumer<String> ended;
    /** Ends the processes also when this one is ended from outside. */
    private final Thread atShutdown = new Thread(this::killAll);

    /**
     * @param machines is told of every machine that is up
     * @param ended is told of controllers that end by themselves
     */
    LoopbackCluster(long seed, Setup setup, Consumer<String> ended, MachineListener machines) throws IOException {
        this.setup = setup;
        this.random = new SplittableRandom(seed);
        this.ended = ended;
        this.directory = Files.createTempDirectory("gullway-soak");
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        XnioEventLoop ioLoop = new XnioEventLoop(worker.getIoThread());
        this.loop = new StoppableEventLoop(ioLoop);
        this.client = new UndertowHttpClient(ioLoop, buffers, socketBudget, Set.of());
        this.store = new FakeStateStore(loop);
        for (int i = 0; i < 3; i++) {
            publicAddresses.put("perch-" + i, hold());
            meshAddresses.put("perch-" + i, hold());
        }
        Runtime.getRuntime().addShutdownHook(atShutdown);
        this.cloud = new FakeCloud(loop, types(), setup.capacity(), (name, kind) -> boot(name, kind, machines));
    }

    /** A server that listens, for a machine that is still to come. */
    private static final class SpareServer {
        private String address;
        private Consumer<HttpExchange> handler = exchange -> exchange.respond(404, new byte[0]);
    }

    private String hold() {
        HeldAddress address = HeldAddress.hold();
        held.add(address);
        return address.toString();
    }

    /** Is told of every machine that is up, and says what its worker knows of the world. */
    interface MachineListener {
        FakeAgent.Environment up(String name, FakeAgent.Kind kind);
    }

    private static List<MachineType> types() {
        return List.of(
                new MachineType("small", 16, 0, 64, 50, 1, 1.0, 0.3, Duration.ofMillis(600), List.of("a", "b")),
                new MachineType("large", 32, 0, 256, 50, 1, 2.5, 0.9, Duration.ofMillis(400), List.of("a", "b")));
    }

    private FakeAgent boot(String name, FakeAgent.Kind kind, MachineListener machines) {
        SpareServer server = spareServers.isEmpty() ? newServer() : spareServers.remove();
        FakeAgent machine = new FakeAgent(
                loop,
                link(name + ">controllers").client(client),
                machines.up(name, kind),
                random.split(),
                name,
                server.address,
                kind,
                publicAddresses,
                setup.heartbeatInterval(),
                setup.lease());
        server.handler = link("controllers>" + name).server("", machine::handle);
        return machine;
    }

    /** A server whose handler comes later; to start one takes this process a while. */
    private SpareServer newServer() {
        SpareServer server = new SpareServer();
        server.address = listen(exchange -> server.handler.accept(exchange));
        return server;
    }

    /** What users reach the controllers with. */
    HttpClient userClient() {
        return link("users>controllers").client(client);
    }

    private FaultyLink link(String name) {
        return links.computeIfAbsent(name, n -> new FaultyLink(loop, random.split()));
    }

    /** Starts a server and returns the address that it got. */
    private String listen(Consumer<HttpExchange> handler) {
        return HttpServer.start(
                worker, buffers, socketBudget, LoopbackAddresses.anyPort(), BODY_LIMIT, handler::accept);
    }

    /** Starts everything; fails if a server of a stand-in cannot listen. */
    void start() {
        for (int i = 0; i < setup.spareServers(); i++) {
            spareServers.add(newServer());
        }
        write(
                OPERATOR_SETTINGS,
                "<gullway><membership-lease-s>" + setup.membership().toSeconds() + "</membership-lease-s></gullway>");
        for (String name : nodes()) {
            String state = listen(link(name + ">state").server(name, store::handle));
            String cloudAddress = listen(link(name + ">cloud").server(name, cloud::handle));
            List<String> seeds = new ArrayList<>();
            for (String peer : nodes()) {
                if (!peer.equals(name)) {
                    String address =
                            listen(link(name + ">" + peer).forwarder(meshAddresses.get(peer), client, PEER_LIMIT));
                    seeds.add(seed(peer, address));
                }
            }
            write(name + ".toml", settings(name, state, cloudAddress, seeds));
            startController(name);
        }
    }

    private static String zone(String node) {
        return node.equals("perch-2") ? "b" : "a";
    }

    private static String seed(String peer, String address) {
        return """
                [[seeds]]
                node_name = "%s"
                site = "%s"
                addr = "%s"
                """
                .formatted(peer, zone(peer), address);
    }

    private String settings(String name, String state, String cloudAddress, List<String> seeds) {
        StringBuilder teams = new StringBuilder();
        setup.teams()
                .values()
                .forEach(team -> teams.append(
                        """
                [[facts.teams]]
                name = "%s"
                cpus = %s
                cpus_max = %s
                """
                                .formatted(team.name(), team.cpus(), team.cpusMax())));
        return """
                node_name = "%s"
                site = "%s"
                public_addr = "%s"
                mesh_addr = "%s"
                %s
                [external]
                cloud = "%s"
                state = "%s"
                [facts]
                count = 3
                zones = ["a", "b"]
                clock_off_ms = 25.0
                %s
                [facts.workers]
                report_s = %s
                lease_s = %s
                cancel_s = %s
                [facts.state]
                rps = 150.0
                write_rps = %s
                value_kb = 16.0
                txn_ops = %s
                [facts.cloud]
                rps = 10.0
                list_lag_s = 0.5
                [facts.quota]
                cpu = 1.0
                mem_mb = 320.0
                sockets = 1000
                """
                .formatted(
                        name,
                        zone(name),
                        publicAddresses.get(name),
                        meshAddresses.get(name),
                        String.join("", seeds),
                        cloudAddress,
                        state,
                        teams,
                        seconds(setup.heartbeatInterval()),
                        seconds(setup.lease()),
                        seconds(setup.cancel()),
                        (double) FakeStateStore.CHANGES_PER_SECOND,
                        FakeStateStore.CHANGES_PER_COMMIT);
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / 1000.0;
    }

    private Path write(String file, String text) {
        try {
            return Files.writeString(directory.resolve(file), text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    List<String> nodes() {
        return List.copyOf(publicAddresses.keySet());
    }

    List<String> userAddresses() {
        return List.copyOf(publicAddresses.values());
    }

    /** The name of the controller that leads by the state service; null if there is none. */
    String leader() {
        var leader = store.value(StoreKeys.LEADER);
        return leader == null ? null : leader.path("node").asText();
    }

    // Processes

    void startController(String name) {
        starter.execute(() -> processes.computeIfAbsent(name, this::startProcess));
    }

    private Process startProcess(String name) {
        List<String> command = new ArrayList<>(setup.command());
        command.addAll(List.of(
                "--config",
                directory.resolve(name + ".toml").toString(),
                "--operator-settings",
                directory.resolve(OPERATOR_SETTINGS).toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", setup.logLevel());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        try {
            Process process = builder.start();
            process.onExit().thenAccept(exited -> loop.execute(() -> exited(name, exited)));
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void exited(String name, Process process) {
        if (processes.remove(name, process)) {
            ended.accept(
                    name + " ended by itself, with code " + process.exitValue() + ", its last line: " + lastLine(name));
        }
    }

    /** Ends the process at once, as a crash does. */
    void kill(String name) {
        starter.execute(() -> {
            Process process = processes.remove(name);
            if (process != null) {
                process.destroyForcibly();
            }
        });
    }

    /** Asks the process to end, which lets it write what it has recorded. */
    void terminate(String name) {
        starter.execute(() -> {
            Process process = processes.remove(name);
            if (process != null) {
                process.destroy();
            }
        });
    }

    /** Ids of the controllers' processes that run now, by controller. */
    Map<String, Long> processIds() {
        Map<String, Long> ids = new TreeMap<>();
        processes.forEach((name, process) -> ids.put(name, process.pid()));
        return ids;
    }

    /** Stops the process where it is, or lets it go on. */
    void pause(String name, boolean on) {
        starter.execute(() -> {
            Process process = processes.get(name);
            if (process != null) {
                signal(process, on ? "-STOP" : "-CONT");
            }
        });
    }

    private static void signal(Process process, String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** All links are good, all controllers run, and the state service serves everybody. */
    void endFaults() {
        links.values().forEach(link -> {
            link.set(FaultyLink.Conditions.GOOD);
            link.cut(false);
        });
        store.restore();
        nodes().forEach(name -> {
            pause(name, false);
            startController(name);
        });
    }

    private String lastLine(String name) {
        try {
            List<String> lines = Files.readAllLines(log(name));
            return lines.isEmpty() ? "none" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "unreadable: " + e.getMessage();
        }
    }

    /** The address at which peers reach the controller of this name. */
    String meshAddress(String name) {
        return meshAddresses.get(name);
    }

    private Path log(String name) {
        return directory.resolve(name + ".log");
    }

    /** Lines of the controllers' logs that contain any of these texts. */
    List<String> logLines(List<String> texts) {
        List<String> found = new ArrayList<>();
        for (String name : nodes()) {
            if (!Files.exists(log(name))) {
                continue;
            }
            try (Stream<String> lines = Files.lines(log(name))) {
                lines.filter(line -> texts.stream().anyMatch(line::contains))
                        .forEach(line -> found.add(name + ": " + line));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return found;
    }

    private List<Process> killAll() {
        List<Process> all = List.copyOf(processes.values());
        processes.clear();
        all.forEach(Process::destroyForcibly);
        return all;
    }

    /** Ends all processes and forgets their files. */
    @Override
    public void close() {
        loop.stop();
        starter.shutdown();
        try {
            // A process that is just being started must not be left behind.
            starter.awaitTermination(PATIENCE.toSeconds(), TimeUnit.SECONDS);
            List<Process> all = killAll();
            Runtime.getRuntime().removeShutdownHook(atShutdown);
            for (Process process : all) {
                process.waitFor(PATIENCE.toSeconds(), TimeUnit.SECONDS);
            }
            worker.shutdownNow();
            held.forEach(HeldAddress::close);
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
