package org.gullway;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeCloud;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.FaultyLink;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/**
 * Three controllers, started with the command of deploy/service.toml as processes of their own, with the project's
 * stand-ins for the state service, the cloud and the workers, on loopback addresses and the real clock. The stand-ins
 * run on one event loop; the methods of this class may be called from any other thread.
 */
final class ReviewCluster implements AutoCloseable {
    /** What a deployment's pages state. */
    static final class Setup {
        String zone = "san-pedro";
        double reportSeconds = 3.0;
        double leaseSeconds = 32.0;
        double cancelSeconds = 62.0;
        double requestsPerSecond = 150.0;
        int capacity = 10;
        String logLevel = "info";
        final Map<String, double[]> teams = new LinkedHashMap<>();
        List<MachineType> types = new ArrayList<>();
    }

    final Setup setup;
    final LoopbackTransport transport;
    final StoppableEventLoop loop;
    final FakeStateStore store;
    final FakeCloud cloud;
    final Path directory;
    final Map<String, String> publicAddresses = new LinkedHashMap<>();
    final Map<String, String> peerAddresses = new LinkedHashMap<>();
    final Map<String, FaultyLink> links = new TreeMap<>();
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    final Map<String, JobRequest> jobs = new ConcurrentHashMap<>();
    final Map<String, Duration> runTimes = new ConcurrentHashMap<>();
    final Map<String, Integer> tasksStarted = new ConcurrentHashMap<>();
    final Map<String, Integer> tasksDone = new ConcurrentHashMap<>();
    /** Machines that fail every task that they start. */
    final Set<String> sick = ConcurrentHashMap.newKeySet();

    /** How much the run times of a job's tasks differ from the stated one, as a share of it. */
    volatile double spread = 0.7;

    final Set<String> completedTasks = ConcurrentHashMap.newKeySet();
    /** Requests received by the state service, by controller and kind. */
    final Map<String, Integer> storeRequests = new ConcurrentHashMap<>();

    private final BufferedWriter record;
    private final long startedAt = System.nanoTime();
    private final SplittableRandom random = new SplittableRandom(1);
    private final List<ReservedAddress> reserved = new ArrayList<>();

    ReviewCluster(Setup setup, Path recordFile) throws Exception {
        this.setup = setup;
        this.record = Files.newBufferedWriter(recordFile);
        this.directory = Files.createTempDirectory("gullway-review");
        this.transport = new LoopbackTransport();
        this.loop = transport.loop();
        this.store = new FakeStateStore(loop);
        for (int i = 0; i < 3; i++) {
            for (Map<String, String> addresses : List.of(publicAddresses, peerAddresses)) {
                ReservedAddress address = ReservedAddress.reserve();
                reserved.add(address);
                addresses.put("perch-" + i, address.toString());
            }
        }
        this.cloud = new FakeCloud(loop, setup.types, setup.capacity, this::boot);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    void note(String line) {
        synchronized (record) {
            try {
                record.write(String.format("%8.3f %s%n", seconds(), line));
                record.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    List<String> nodes() {
        return List.copyOf(publicAddresses.keySet());
    }

    /** Runs the action on the stand-ins' event loop and returns its result. */
    <T> T onLoop(Callable<T> action) throws Exception {
        CompletableFuture<T> future = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                future.complete(action.call());
            } catch (Throwable e) {
                future.completeExceptionally(e);
            }
        });
        return future.get(30, TimeUnit.SECONDS);
    }

    private FaultyLink link(String name) {
        return links.computeIfAbsent(name, n -> new FaultyLink(loop, random.split()));
    }

    private FakeAgent boot(String name, FakeAgent.Kind kind) {
        FakeAgent.Environment environment = new FakeAgent.Environment() {
            @Override
            public JobRequest jobOf(String job) {
                return jobs.get(job);
            }

            @Override
            public Duration runTime(String job) {
                // Tasks of one class differ in their run times.
                return Duration.ofMillis((long) (runTimes.get(job).toMillis() * (1 - spread + 2 * spread * random.nextDouble())));
            }

            @Override
            public boolean taskFails(String machine, String job) {
                return sick.contains(machine);
            }

            @Override
            public boolean isCompleted(String task) {
                return completedTasks.contains(task);
            }

            @Override
            public void onTaskStarted(String machine, String task) {
                tasksStarted.merge(task.substring(0, task.indexOf('/')), 1, Integer::sum);
                onStart.accept(machine, task);
            }

            @Override
            public void onTaskEnded(String machine, String task, boolean done) {
                if (done && completedTasks.add(task)) {
                    tasksDone.merge(task.substring(0, task.indexOf('/')), 1, Integer::sum);
                }
                onEnd.accept(machine, task, done);
            }
        };
        Consumer<HttpExchange>[] handler = new Consumer[1];
        String address = transport.listen(exchange -> handler[0].accept(exchange));
        note("machine up " + name + " " + kind);
        FakeAgent agent = new FakeAgent(
                loop,
                link(name + ">controllers").wrapClient(transport.client()),
                environment,
                random.split(),
                new FakeAgent.Machine(name, address, kind),
                publicAddresses,
                new FakeAgent.Timing(millis(setup.reportSeconds), millis(setup.leaseSeconds)));
        handler[0] = link("controllers>" + name).wrapHandler("", agent::handle);
        return agent;
    }

    interface OnStart {
        void accept(String machine, String task);
    }

    interface OnEnd {
        void accept(String machine, String task, boolean done);
    }

    volatile OnStart onStart = (machine, task) -> {};
    volatile OnEnd onEnd = (machine, task, done) -> {};

    static Duration millis(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /** Starts the servers of the stand-ins and the three controllers. */
    void start() throws Exception {
        Map<String, String> settings = onLoop(this::listen);
        for (String name : nodes()) {
            Files.writeString(directory.resolve(name + ".toml"), settings.get(name));
            startController(name);
        }
    }

    private Map<String, String> listen() {
        Map<String, String> settings = new HashMap<>();
        for (String name : nodes()) {
            Consumer<HttpExchange> toStore = link(name + ">state").wrapHandler(name, store::handle);
            String storeAddress = transport.listen(exchange -> {
                String path = exchange.path();
                String kind = path.startsWith("/grants") ? (path.endsWith("/renew") ? "renewals" : "grants") : path;
                kind = kind.startsWith("/store") ? "reads" : kind;
                storeRequests.merge(name + " " + kind, 1, Integer::sum);
                toStore.accept(watched(name, exchange));
            });
            String cloudAddress = transport.listen(link(name + ">cloud").wrapHandler(name, cloud::handle));
            settings.put(name, toml(name, cloudAddress, storeAddress));
        }
        return settings;
    }

    /** Notes large responses of the state service. */
    private HttpExchange watched(String name, HttpExchange exchange) {
        return new HttpExchange() {
            @Override
            public String method() {
                return exchange.method();
            }

            @Override
            public String path() {
                return exchange.path();
            }

            @Override
            public String query() {
                return exchange.query();
            }

            @Override
            public byte[] body() {
                return exchange.body();
            }

            @Override
            public void respond(int status, byte[] content) {
                if (content.length > 500_000) {
                    note("the state service answers " + path() + " of " + name + " with " + content.length + " bytes");
                }
                exchange.respond(status, content);
            }

            @Override
            public void reject(int status, Duration retryAfter) {
                exchange.reject(status, retryAfter);
            }
        };
    }

    private String toml(String name, String cloudAddress, String storeAddress) {
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"" + name + "\"\nsite = \"" + setup.zone + "\"\n");
        text.append("public_addr = \"" + publicAddresses.get(name) + "\"\n");
        text.append("mesh_addr = \"" + peerAddresses.get(name) + "\"\n");
        for (String peer : nodes()) {
            if (!peer.equals(name)) {
                text.append("[[seeds]]\nnode_name = \"" + peer + "\"\nsite = \"" + setup.zone + "\"\naddr = \""
                        + peerAddresses.get(peer) + "\"\n");
            }
        }
        text.append("[external]\ncloud = \"" + cloudAddress + "\"\nstate = \"" + storeAddress + "\"\n");
        text.append("[facts]\ncount = 3\nzones = [\"" + setup.zone + "\"]\nclock_off_ms = 1000.0\n");
        setup.teams.forEach((team, cpus) -> text.append("[[facts.teams]]\nname = \"" + team + "\"\ncpus = " + cpus[0]
                + "\ncpus_max = " + cpus[1] + "\ngpus = 0.0\ngpus_max = 0.0\n"));
        text.append("[facts.workers]\nreport_s = " + setup.reportSeconds + "\nlease_s = " + setup.leaseSeconds
                + "\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = " + setup.cancelSeconds + "\n");
        text.append("[facts.state]\nrps = " + setup.requestsPerSecond
                + "\nwrite_rps = " + (double) FakeStateStore.MAX_CHANGES_PER_SECOND + "\nvalue_kb = 16.0\ntxn_ops = "
                + FakeStateStore.MAX_CHANGES_PER_COMMIT + "\n");
        text.append("[facts.cloud]\nrps = 10.0\nlist_lag_s = 6.0\n");
        text.append("[facts.quota]\ncpu = 1.0\nmem_mb = 320.0\nsockets = 3000\n");
        return text.toString();
    }

    /** The command of the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(run.split(" "));
            }
        }
        throw new IOException("deploy/service.toml has no run line");
    }

    void startController(String name) throws IOException {
        List<String> command = new ArrayList<>(command());
        command.add(directory.resolve(name + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", setup.logLevel);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        note("started " + name);
    }

    void kill(String name) throws Exception {
        Process process = processes.get(name);
        process.destroyForcibly();
        process.waitFor();
        note("killed " + name);
    }

    void signal(String name, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start().waitFor();
        note("signal " + signal + " to " + name);
    }

    /** The leader as the state service has it, or null. */
    String leader() throws Exception {
        return onLoop(() -> {
            var value = store.value("live/leader");
            return value == null ? null : value.path("node").asText();
        });
    }

    HttpResponse call(String address, HttpRequest request) throws Exception {
        CompletableFuture<HttpResponse> future = new CompletableFuture<>();
        loop.execute(() -> transport.client().call(address, request, future::complete));
        return future.get(60, TimeUnit.SECONDS);
    }

    private static String text(HttpResponse response) {
        if (response.outcome() != HttpResponse.Outcome.ANSWERED) {
            return response.outcome().toString();
        }
        try {
            return response.status() + " " + (response.body().length == 0 ? "" : Cbor.decode(response.body()));
        } catch (Exception e) {
            return response.status() + " ?";
        }
    }

    static JobRequest job(String id, String herd, String team, Priority priority, int tasks, double cpus, double memory) {
        return new JobRequest(
                id, herd, team, JobRequest.Shape.ARRAY, priority, tasks, cpus, 0, memory, "img-1", 0.1, null, null,
                false, false, true, Duration.ofSeconds(10), Duration.ZERO, Duration.ZERO, null);
    }

    /** Submits a job as a user does: repeats for 60 s at most until it is accepted. Returns the answer. */
    String submit(JobRequest job, Duration runTime) throws Exception {
        jobs.put(job.id(), job);
        runTimes.put(job.id(), runTime);
        double until = seconds() + 60;
        int turn = random.nextInt(3);
        String answer = "none";
        while (seconds() < until) {
            String node = nodes().get(turn++ % 3);
            HttpResponse response = call(
                    publicAddresses.get(node),
                    HttpRequest.post("/v2/runs", Cbor.encode(job.toNode()), Duration.ofSeconds(5)));
            answer = text(response);
            note("submit " + job.id() + " (" + job.tasks() + " tasks of " + job.cpus() + " CPUs, " + job.team() + ", "
                    + job.priority() + ") to " + node + ": " + answer);
            if (response.outcome() == HttpResponse.Outcome.ANSWERED
                    && (response.status() == 200 || response.status() == 201 || response.status() == 422)) {
                return answer;
            }
            Thread.sleep(1000);
        }
        return answer;
    }

    String query(String node, String id) throws Exception {
        HttpResponse response =
                call(publicAddresses.get(node), HttpRequest.get("/v2/runs/" + id, Duration.ofSeconds(2)));
        String answer = text(response);
        note("query " + id + " at " + node + ": " + answer);
        return answer;
    }

    String cancel(String node, String id) throws Exception {
        HttpResponse response = call(
                publicAddresses.get(node),
                HttpRequest.post("/v2/runs/" + id + "/withdraw", new byte[0], Duration.ofSeconds(5)));
        String answer = text(response);
        note("withdraw " + id + " at " + node + ": " + answer);
        return answer;
    }

    /** Status of a health check, or 0 without an answer within 1 s. */
    int health(String node) throws Exception {
        HttpResponse response = call(publicAddresses.get(node), HttpRequest.get("/up", Duration.ofSeconds(1)));
        return response.outcome() == HttpResponse.Outcome.ANSWERED ? response.status() : 0;
    }

    /** Waits until all controllers answer health checks with 200. */
    boolean awaitHealthy(int withinSeconds) throws Exception {
        double until = seconds() + withinSeconds;
        while (seconds() < until) {
            int healthy = 0;
            for (String node : nodes()) {
                healthy += health(node) == 200 ? 1 : 0;
            }
            if (healthy == 3) {
                note("all controllers answer /up with 200");
                return true;
            }
            Thread.sleep(250);
        }
        return false;
    }

    List<String> logLines(String name, String text) throws IOException {
        Path file = directory.resolve(name + ".log");
        return Files.exists(file)
                ? Files.readAllLines(file).stream().filter(line -> line.contains(text)).toList()
                : List.of();
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws Exception {
        loop.stop();
        killAll();
        for (Process process : processes.values()) {
            process.waitFor(10, TimeUnit.SECONDS);
        }
        transport.close();
        reserved.forEach(ReservedAddress::close);
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(directory)) {
                for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.err.println(directory);
        }
        synchronized (record) {
            record.close();
        }
    }
}
