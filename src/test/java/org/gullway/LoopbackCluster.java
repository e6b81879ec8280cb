package org.gullway;

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
import java.util.SplittableRandom;
import java.util.TreeMap;
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
import org.gullway.transport.HttpStatus;

/**
 * Three controllers as processes of their own on loopback, with the stand-ins of state store, cloud and agents behind
 * real sockets in this process. Everything except starting and ending it runs on its event loop.
 */
final class LoopbackCluster implements AutoCloseable {
    static final Duration AGENT_LEASE = Duration.ofSeconds(4);
    static final Duration CANCELLATION_LIMIT = Duration.ofSeconds(12);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(4);
    private static final String OPERATOR_SETTINGS = "operator.xml";

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
                    AGENT_LEASE,
                    CANCELLATION_LIMIT,
                    Duration.ofSeconds(2),
                    4,
                    SimulatedCluster.Setup.SMALL_TEAMS,
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
    private final HttpClient client;
    final FakeStateStore store;
    final FakeCloud cloud;
    /** By the names of both parties, "from>to"; agents have one link to all controllers and one from them. */
    final Map<String, FaultyLink> links = new TreeMap<>();

    private final LoopbackTransport transport;
    private final SplittableRandom random;
    private final List<ReservedAddress> reservedAddresses = new ArrayList<>();
    private final Map<String, String> publicAddresses = new LinkedHashMap<>();
    private final Map<String, String> peerAddresses = new LinkedHashMap<>();
    private final ControllerProcesses processes;
    private final Deque<SpareServer> spareServers = new ArrayDeque<>();
    private final Path directory;

    /**
     * @param machines is notified of every machine that is up
     * @param ended is notified of controllers that end by themselves
     */
    LoopbackCluster(long seed, Setup setup, Consumer<String> ended, MachineListener machines) throws IOException {
        this.setup = setup;
        this.random = new SplittableRandom(seed);
        this.directory = Files.createTempDirectory("gullway-soak");
        this.transport = new LoopbackTransport();
        this.loop = transport.loop();
        this.client = transport.client();
        this.processes = new ControllerProcesses(
                setup.command(), setup.logLevel(), directory, cause -> loop.execute(() -> ended.accept(cause)));
        this.store = new FakeStateStore(loop);
        for (int i = 0; i < 3; i++) {
            publicAddresses.put("perch-" + i, reserveAddress());
            peerAddresses.put("perch-" + i, reserveAddress());
        }
        this.cloud = new FakeCloud(loop, types(), setup.capacity(), (name, kind) -> boot(name, kind, machines));
    }

    /** A server that listens, for a machine that will be provisioned. */
    private static final class SpareServer {
        private String address;
        private Consumer<HttpExchange> handler = exchange -> exchange.respond(HttpStatus.NOT_FOUND, new byte[0]);
    }

    private String reserveAddress() {
        ReservedAddress address = ReservedAddress.reserve();
        reservedAddresses.add(address);
        return address.toString();
    }

    /** Is notified of every machine that is up, and returns the environment of its agent. */
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
                link(name + ">controllers").wrapClient(client),
                machines.up(name, kind),
                random.split(),
                new FakeAgent.Machine(name, server.address, kind),
                publicAddresses,
                new FakeAgent.Timing(setup.heartbeatInterval(), setup.lease()));
        server.handler = link("controllers>" + name).wrapHandler("", machine::handle);
        return machine;
    }

    /** A server whose handler is set later, since starting one takes this process long. */
    private SpareServer newServer() {
        SpareServer server = new SpareServer();
        server.address = transport.listen(exchange -> server.handler.accept(exchange));
        return server;
    }

    /** The client with which users reach the controllers. */
    HttpClient userClient() {
        return link("users>controllers").wrapClient(client);
    }

    private FaultyLink link(String name) {
        return links.computeIfAbsent(name, n -> new FaultyLink(loop, random.split()));
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
            String storeAddress = transport.listen(link(name + ">state").wrapHandler(name, store::handle));
            String cloudAddress = transport.listen(link(name + ">cloud").wrapHandler(name, cloud::handle));
            List<Settings.Peer> seeds = new ArrayList<>();
            for (String peer : nodes()) {
                if (!peer.equals(name)) {
                    String address = transport.listen(
                            link(name + ">" + peer).forwarder(peerAddresses.get(peer), client, PEER_TIMEOUT));
                    seeds.add(new Settings.Peer(peer, zone(peer), address));
                }
            }
            write(
                    name + ".toml",
                    new NodeSettings(
                                    name,
                                    zone(name),
                                    publicAddresses.get(name),
                                    peerAddresses.get(name),
                                    seeds,
                                    cloudAddress,
                                    storeAddress)
                            .toToml(setup));
            startController(name);
        }
    }

    private static String zone(String node) {
        return node.equals("perch-2") ? "b" : "a";
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

    /** The name of the leader by the state store; null if there is none. */
    String leader() {
        var leader = store.value(StoreKeys.LEADER);
        return leader == null ? null : leader.path("node").asText();
    }

    // Processes

    void startController(String name) {
        processes.start(name, directory.resolve(name + ".toml"), directory.resolve(OPERATOR_SETTINGS));
    }

    /** Sets the command with which this controller is started from now on, such as that of another build. */
    void useCommand(String name, List<String> command) {
        processes.useCommand(name, command);
    }

    /** Ends the process at once, as a crash does. */
    void kill(String name) {
        processes.kill(name);
    }

    /** Asks the process to end, so that it can write its recordings. */
    void terminate(String name) {
        processes.terminate(name);
    }

    /** Suspends the process, or resumes it. */
    void pause(String name, boolean on) {
        processes.pause(name, on);
    }

    /** Ids of the controllers' processes that run now, by controller. */
    Map<String, Long> processIds() {
        return processes.ids();
    }

    /** Lines of the controllers' logs that contain any of these texts. */
    List<String> logLines(List<String> texts) {
        return processes.logLines(nodes(), texts);
    }

    /** All links are good, all controllers run, and the state store serves everybody. */
    void endFaults() {
        links.values().forEach(link -> {
            link.set(FaultyLink.Conditions.NO_FAULTS);
            link.cut(false);
        });
        store.clearFaults();
        nodes().forEach(name -> {
            pause(name, false);
            startController(name);
        });
    }

    /** The address at which peers reach the controller of this name. */
    String peerAddress(String name) {
        return peerAddresses.get(name);
    }

    /** Ends all processes and removes their files. */
    @Override
    public void close() {
        loop.stop();
        processes.close();
        transport.close();
        reservedAddresses.forEach(ReservedAddress::close);
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
