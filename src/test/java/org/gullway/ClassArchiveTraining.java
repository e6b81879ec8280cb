package org.gullway;

import io.undertow.server.DefaultByteBufferPool;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeCloud;
import org.gullway.fake.FakeStateStore;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpServer;
import org.gullway.transport.HttpStatus;
import org.gullway.transport.SocketBudget;
import org.gullway.transport.UndertowHttpClient;
import org.gullway.transport.XnioEventLoop;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs one controller as a process of its own against stand-ins on loopback until it has served a few jobs, then ends
 * it. The build lets that process write the class-data archive with which the service starts quickly; the test of the
 * real sockets plays the same scenario.
 */
public final class ClassArchiveTraining {
    private static final int TRIES = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private ClassArchiveTraining() {}

    /** Arguments: the archive to write, the jar, then options of the virtual machine. */
    public static void main(String[] args) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(args).subList(2, args.length));
        command.addAll(List.of(
                "-XX:ArchiveClassesAtExit=" + args[0], "-Xlog:cds=off", "-Xlog:cds+dynamic=off", "-jar", args[1]));
        for (int left = TRIES; left > 0; left--) {
            try {
                run(command);
                left = 0;
            } catch (ExecutionException | TimeoutException e) {
                System.err.println("the training run failed, tries left: " + (left - 1) + ": " + e);
            }
        }
        if (!Files.exists(Path.of(args[0]))) {
            throw new IllegalStateException("no class-data archive was written");
        }
        System.exit(0);
    }

    /** Serves three jobs with the command, to which the settings are added. */
    static void run(List<String> command) throws Exception {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192);
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        SocketBudget socketBudget = new SocketBudget(1000);
        UndertowHttpClient client = new UndertowHttpClient(loop, buffers, socketBudget, Set.of());
        String node = freeAddress();
        String state = freeAddress();
        String cloudAddress = freeAddress();
        Map<String, JobRequest> jobs = Map.of(
                "run-000001",
                job("run-000001", Priority.HIGH),
                "run-000002",
                job("run-000002", Priority.NORMAL),
                "run-000003",
                job("run-000003", Priority.IDLE));
        FakeAgent.Environment environment = new ShortTasks(jobs);
        Path settings = Files.createTempFile("gullway", ".toml");
        Files.writeString(settings, settings(node, state, cloudAddress));
        loop.execute(() -> listen(
                worker, buffers, socketBudget, loop, client, environment, new Addresses(node, state, cloudAddress)));
        List<String> fullCommand = new ArrayList<>(command);
        fullCommand.addAll(List.of("--config", settings.toString()));
        Process process = new ProcessBuilder(fullCommand).inheritIO().start();
        try {
            List<CompletableFuture<Void>> done = new ArrayList<>();
            for (JobRequest job : jobs.values()) {
                CompletableFuture<Void> future = new CompletableFuture<>();
                done.add(future);
                loop.execute(() -> submit(loop, client, node, job, future));
            }
            CompletableFuture.allOf(done.toArray(CompletableFuture[]::new)).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } finally {
            process.destroy();
            if (!process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
            Files.delete(settings);
        }
    }

    /** Where the daemon and the stand-ins of the services listen. */
    private record Addresses(String node, String state, String cloud) {}

    /** Starts the stand-ins of the state store and of the cloud, whose machines listen as soon as they are provisioned. */
    private static void listen(
            XnioWorker worker,
            DefaultByteBufferPool buffers,
            SocketBudget socketBudget,
            XnioEventLoop loop,
            UndertowHttpClient client,
            FakeAgent.Environment environment,
            Addresses addresses) {
        FakeStateStore store = new FakeStateStore(loop);
        FakeCloud cloud = new FakeCloud(
                loop,
                List.of(new MachineType("small", 16, 0, 64, 50, 1, 1, 0.3, Duration.ofMillis(300), List.of("a"))),
                2,
                (name, kind) -> {
                    String address = freeAddress();
                    FakeAgent machine = new FakeAgent(
                            loop,
                            client,
                            environment,
                            new SplittableRandom(1),
                            new FakeAgent.Machine(name, address, kind),
                            Map.of("perch-0", addresses.node()),
                            new FakeAgent.Timing(Duration.ofMillis(500), Duration.ofSeconds(20)));
                    HttpServer.start(worker, buffers, socketBudget, address, 65536, machine::handle);
                    return machine;
                });
        HttpServer.start(worker, buffers, socketBudget, addresses.state(), 65536, store::handle);
        HttpServer.start(worker, buffers, socketBudget, addresses.cloud(), 65536, cloud::handle);
    }

    private static void submit(
            XnioEventLoop loop, UndertowHttpClient client, String node, JobRequest job, CompletableFuture<Void> done) {
        client.call(node, HttpRequest.post("/v2/runs", Cbor.encode(job.toNode()), Duration.ofSeconds(5)), response -> {
            if (response.status() == HttpStatus.CREATED) {
                poll(loop, client, node, job, done);
            } else {
                loop.after(Duration.ofMillis(200), () -> submit(loop, client, node, job, done));
            }
        });
    }

    private static void poll(
            XnioEventLoop loop, UndertowHttpClient client, String node, JobRequest job, CompletableFuture<Void> done) {
        client.call(node, HttpRequest.get("/v2/runs/" + job.id(), Duration.ofSeconds(2)), response -> {
            if (response.isOk()
                    && unchecked(() -> Cbor.decode(response.body()).path("tide").asText())
                            .equals("done")) {
                done.complete(null);
            } else {
                loop.after(Duration.ofMillis(200), () -> poll(loop, client, node, job, done));
            }
        });
    }

    private static JobRequest job(String id, Priority priority) {
        return new JobRequest(
                id,
                "render",
                "red",
                JobRequest.Shape.ARRAY,
                priority,
                3,
                4,
                0,
                4,
                "img-1",
                0.5,
                null,
                null,
                false,
                false,
                true,
                Duration.ofSeconds(1),
                Duration.ZERO,
                Duration.ZERO,
                Duration.ofMinutes(1));
    }

    /** An address of its own in the loopback range, which no outgoing connection can have taken as its port. */
    private static String freeAddress() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + "." + random.nextInt(1, 255) + ":18080";
    }

    private interface Failing<T> {
        T get() throws Exception;
    }

    private static <T> T unchecked(Failing<T> action) {
        try {
            return action.get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    static String settings(String node, String state, String cloud) {
        return """
                node_name = "perch-0"
                site = "a"
                public_addr = "%s"
                mesh_addr = "%s"
                [external]
                cloud = "%s"
                state = "%s"
                [facts]
                count = 1
                zones = ["a"]
                clock_off_ms = 25.0
                [[facts.teams]]
                name = "red"
                cpus = 32.0
                cpus_max = 32.0
                gpus = 0.0
                gpus_max = 0.0
                [[facts.objectives]]
                kind = "wait"
                class = "render"
                within_s = 2.0
                share = 0.85
                [facts.workers]
                report_s = 0.5
                lease_s = 20.0
                cancel_s = 30.0
                [facts.state]
                rps = 150.0
                write_rps = 50.0
                value_kb = 16.0
                txn_ops = 24
                [facts.cloud]
                rps = 10.0
                list_lag_s = 1.0
                [facts.quota]
                cpu = 1.0
                mem_mb = 320.0
                sockets = 1000
                """
                .formatted(node, freeAddress(), cloud, state);
    }

    /** Tasks that run for a tenth of a second and never fail. */
    private record ShortTasks(Map<String, JobRequest> jobs) implements FakeAgent.Environment {
        @Override
        public JobRequest jobOf(String job) {
            return jobs.get(job);
        }

        @Override
        public Duration runTime(String job) {
            return Duration.ofMillis(100);
        }

        @Override
        public void onTaskStarted(String machine, String task) {}

        @Override
        public void onTaskEnded(String machine, String task, boolean done) {}
    }
}
