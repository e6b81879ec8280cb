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
 * Three controllers, each in a process of its own, connected over loopback sockets to fakes of the state store, the
 * cloud and the agents, which run in this process. The fakes, the links and {@link #start} must be used on the event
 * loop of this cluster.
 */
final class LoopbackCluster implements AutoCloseable {
    static final Duration AGENT_LEASE = Duration.ofSeconds(4);
    static final Duration CANCELLATION_LIMIT = Duration.ofSeconds(12);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(4);
    private static final String OPERATOR_SETTINGS = "operator.xml";

    /**
     * Parameters of a cluster.
     *
     * @param membershipLease the lease that a controller renews in the state store to stay a member
     * @param capacity how many machines the cloud has of each combination of type, zone and spot or on-demand
     * @param spareServers how many servers for future machines to start in advance, since starting a server blocks the
     *     event loop for a long time
     * @param command the command line that starts a controller, without --config and --operator-settings
     */
    record Setup(
            Duration heartbeatInterval,
            Duration agentLease,
            Duration cancellationLimit,
            Duration membershipLease,
            int capacity,
            Map<String, Settings.Team> teams,
            int spareServers,
            List<String> command,
            String logLevel) {

        /**
         * Few machines and short leases; controllers run from the class path of this process and log at level debug.
         */
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

        /** Path of the java executable of the Java installation that runs this process. */
        static String java() {
            return Path.of(System.getProperty("java.home"), "bin", "java").toString();
        }
    }

    private final Setup setup;
    final StoppableEventLoop loop;
    private final HttpClient client;
    final FakeStateStore store;
    final FakeCloud cloud;
    /**
     * All links by name, "from>to". Each machine has one link to all controllers, "machine>controllers", and one from
     * all controllers, "controllers>machine".
     */
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
     * @param onProcessFailure called, on the event loop, with the cause when a controller cannot be started or exits by
     *     itself
     * @param machineListener called for every machine that boots
     */
    LoopbackCluster(long seed, Setup setup, Consumer<String> onProcessFailure, MachineListener machineListener)
            throws IOException {
        this.setup = setup;
        this.random = new SplittableRandom(seed);
        this.directory = Files.createTempDirectory("gullway-soak");
        this.transport = new LoopbackTransport();
        this.loop = transport.loop();
        this.client = transport.client();
        this.processes = new ControllerProcesses(
                setup.command(),
                setup.logLevel(),
                directory,
                cause -> loop.execute(() -> onProcessFailure.accept(cause)));
        this.store = new FakeStateStore(loop);
        for (int i = 0; i < 3; i++) {
            publicAddresses.put("perch-" + i, reserveAddress());
            peerAddresses.put("perch-" + i, reserveAddress());
        }
        this.cloud = new FakeCloud(
                loop, machineTypes(), setup.capacity(), (name, kind) -> boot(name, kind, machineListener));
    }

    /** A listening server for a machine that is not provisioned yet; until then it responds with status 404. */
    private static final class SpareServer {
        private String address;
        private Consumer<HttpExchange> handler = exchange -> exchange.respond(HttpStatus.NOT_FOUND, new byte[0]);
    }

    private String reserveAddress() {
        ReservedAddress address = ReservedAddress.reserve();
        reservedAddresses.add(address);
        return address.toString();
    }

    /** Called for every machine that boots; returns the environment of the machine's agent. */
    interface MachineListener {
        FakeAgent.Environment onMachineUp(String name, FakeAgent.Kind kind);
    }

    private static List<MachineType> machineTypes() {
        return List.of(
                new MachineType("small", 16, 0, 64, 50, 1, 1.0, 0.3, Duration.ofMillis(600), List.of("a", "b")),
                new MachineType("large", 32, 0, 256, 50, 1, 2.5, 0.9, Duration.ofMillis(400), List.of("a", "b")));
    }

    private FakeAgent boot(String name, FakeAgent.Kind kind, MachineListener machineListener) {
        SpareServer server = spareServers.isEmpty() ? newServer() : spareServers.remove();
        FakeAgent agent = new FakeAgent(
                loop,
                link(name + ">controllers").wrapClient(client),
                machineListener.onMachineUp(name, kind),
                random.split(),
                new FakeAgent.Machine(name, server.address, kind),
                publicAddresses,
                new FakeAgent.Timing(setup.heartbeatInterval(), setup.agentLease()));
        server.handler = link("controllers>" + name).wrapHandler("", agent::handle);
        return agent;
    }

    /**
     * Starts a server whose handler is set when its machine boots, since starting a server blocks the event loop for a
     * long time.
     */
    private SpareServer newServer() {
        SpareServer server = new SpareServer();
        server.address = transport.listen(exchange -> server.handler.accept(exchange));
        return server;
    }

    /** A client for the users' requests to the controllers, through the link "users>controllers". */
    HttpClient userClient() {
        return link("users>controllers").wrapClient(client);
    }

    private FaultyLink link(String name) {
        return links.computeIfAbsent(name, n -> new FaultyLink(loop, random.split()));
    }

    /** Starts the fakes' servers and the controllers; fails if a server cannot listen. */
    void start() {
        for (int i = 0; i < setup.spareServers(); i++) {
            spareServers.add(newServer());
        }
        write(
                OPERATOR_SETTINGS,
                "<gullway><membership-lease-s>" + setup.membershipLease().toSeconds()
                        + "</membership-lease-s></gullway>");
        for (String name : nodes()) {
            String storeAddress = transport.listen(link(name + ">state").wrapHandler(name, store::handle));
            String cloudAddress = transport.listen(link(name + ">cloud").wrapHandler(name, cloud::handle));
            List<Settings.Peer> peers = new ArrayList<>();
            for (String peer : nodes()) {
                if (!peer.equals(name)) {
                    String address = transport.listen(
                            link(name + ">" + peer).forwarder(peerAddresses.get(peer), client, PEER_TIMEOUT));
                    peers.add(new Settings.Peer(peer, zone(peer), address));
                }
            }
            write(
                    name + ".toml",
                    new NodeSettings(
                                    name,
                                    zone(name),
                                    publicAddresses.get(name),
                                    peerAddresses.get(name),
                                    peers,
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

    List<String> publicAddresses() {
        return List.copyOf(publicAddresses.values());
    }

    /** The name of the leader as recorded in the state store; null if there is none. */
    String leader() {
        var leader = store.value(StoreKeys.LEADER);
        return leader == null ? null : leader.path("node").asText();
    }

    // Control of the controllers' processes

    void startController(String name) {
        processes.start(name, directory.resolve(name + ".toml"), directory.resolve(OPERATOR_SETTINGS));
    }

    /** Sets the command that starts this controller from now on, such as the command of another build. */
    void useCommand(String name, List<String> command) {
        processes.useCommand(name, command);
    }

    /** Kills the process, which simulates a crash. */
    void kill(String name) {
        processes.kill(name);
    }

    /**
     * Requests an orderly exit, in which the process can still write recordings such as those of Java Flight Recorder.
     */
    void terminate(String name) {
        processes.terminate(name);
    }

    /** Suspends the process (paused is true) or resumes it. */
    void setPaused(String name, boolean paused) {
        processes.setPaused(name, paused);
    }

    /** Process ids of the running controllers, by controller name. */
    Map<String, Long> processIds() {
        return processes.ids();
    }

    /** Lines of the controllers' logs that contain any of these texts. */
    List<String> logLines(List<String> texts) {
        return processes.logLines(nodes(), texts);
    }

    /** Ends all faults: restores links and state store, resumes paused controllers and starts those that do not run. */
    void endFaults() {
        links.values().forEach(link -> {
            link.set(FaultyLink.Conditions.NO_FAULTS);
            link.cut(false);
        });
        store.clearFaults();
        nodes().forEach(name -> {
            setPaused(name, false);
            startController(name);
        });
    }

    /** The address at which the controller serves its peers. */
    String peerAddress(String name) {
        return peerAddresses.get(name);
    }

    /** Kills all controllers and deletes the temporary directory with their settings and logs. */
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
