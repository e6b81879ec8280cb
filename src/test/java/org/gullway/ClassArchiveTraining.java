package org.gullway;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;

/**
 * Runs one controller in a process of its own against fakes on loopback until three jobs have completed, then
 * terminates it. The build makes that process write the class data sharing (CDS) archive, which shortens the start of
 * the service. {@link RealSocketsTest} runs the same scenario.
 */
public final class ClassArchiveTraining {
    private static final int TRIES = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final LoopbackTransport transport;
    private final EventLoop loop;
    private final String controllerAddress = randomAddress();
    private final String storeAddress = randomAddress();
    private final String cloudAddress = randomAddress();
    private final Map<String, JobRequest> jobs = Map.of(
            "run-000001",
            job("run-000001", Priority.HIGH),
            "run-000002",
            job("run-000002", Priority.NORMAL),
            "run-000003",
            job("run-000003", Priority.IDLE));

    private ClassArchiveTraining(LoopbackTransport transport) {
        this.transport = transport;
        this.loop = transport.loop();
    }

    /** Arguments: the archive to write, the jar, then options of the Java virtual machine. */
    public static void main(String[] args) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(args).subList(2, args.length));
        command.addAll(List.of(
                "-XX:ArchiveClassesAtExit=" + args[0], "-Xlog:cds=off", "-Xlog:cds+dynamic=off", "-jar", args[1]));
        for (int triesLeft = TRIES; triesLeft > 0; triesLeft--) {
            try {
                run(command);
                triesLeft = 0;
            } catch (ExecutionException | TimeoutException e) {
                System.err.println("training run failed: tries_left=" + (triesLeft - 1) + " cause=" + e);
            }
        }
        if (!Files.exists(Path.of(args[0]))) {
            throw new IllegalStateException("no class-data archive was written: file=" + args[0]);
        }
        System.exit(0);
    }

    /** Starts a controller with this command, to which --config is appended, and runs three jobs on it. */
    static void run(List<String> command) throws Exception {
        try (LoopbackTransport transport = new LoopbackTransport()) {
            new ClassArchiveTraining(transport).runJobs(command);
        }
    }

    private void runJobs(List<String> command) throws Exception {
        Path settings = Files.createTempFile("gullway", ".toml");
        Files.writeString(settings, settings(controllerAddress, storeAddress, cloudAddress));
        loop.execute(this::startFakes);
        List<String> fullCommand = new ArrayList<>(command);
        fullCommand.addAll(List.of("--config", settings.toString()));
        Process process = new ProcessBuilder(fullCommand).inheritIO().start();
        try {
            List<CompletableFuture<Void>> jobsDone = new ArrayList<>();
            for (JobRequest job : jobs.values()) {
                CompletableFuture<Void> jobDone = new CompletableFuture<>();
                jobsDone.add(jobDone);
                loop.execute(() -> submit(job, jobDone));
            }
            CompletableFuture.allOf(jobsDone.toArray(CompletableFuture[]::new))
                    .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } finally {
            process.destroy();
            if (!process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
            Files.delete(settings);
        }
    }

    /** Starts the fakes of the state store and of the cloud. The agents of machines start when their machines boot. */
    private void startFakes() {
        FakeStateStore store = new FakeStateStore(loop);
        List<MachineType> types =
                List.of(new MachineType("small", 16, 0, 64, 50, 1, 1, 0.3, Duration.ofMillis(300), List.of("a")));
        FakeCloud cloud = new FakeCloud(loop, types, 2, this::boot);
        transport.listenAt(storeAddress, store::handle);
        transport.listenAt(cloudAddress, cloud::handle);
    }

    private FakeAgent boot(String name, FakeAgent.Kind kind) {
        String address = randomAddress();
        FakeAgent agent = new FakeAgent(
                loop,
                transport.client(),
                new ShortTasks(jobs),
                new SplittableRandom(1),
                new FakeAgent.Machine(name, address, kind),
                Map.of("perch-0", controllerAddress),
                new FakeAgent.Timing(Duration.ofMillis(500), Duration.ofSeconds(20)));
        transport.listenAt(address, agent::handle);
        return agent;
    }

    private void submit(JobRequest job, CompletableFuture<Void> done) {
        HttpRequest request = HttpRequest.post("/v2/runs", Cbor.encode(job.toNode()), Duration.ofSeconds(5));
        transport.client().call(controllerAddress, request, response -> {
            if (response.status() == HttpStatus.CREATED) {
                poll(job, done);
            } else {
                loop.after(RETRY_DELAY, () -> submit(job, done));
            }
        });
    }

    private void poll(JobRequest job, CompletableFuture<Void> done) {
        HttpRequest request = HttpRequest.get("/v2/runs/" + job.id(), Duration.ofSeconds(2));
        transport.client().call(controllerAddress, request, response -> {
            if (response.isOk() && state(response).equals("done")) {
                done.complete(null);
            } else {
                loop.after(RETRY_DELAY, () -> poll(job, done));
            }
        });
    }

    private static String state(HttpResponse response) {
        try {
            return Cbor.decode(response.body()).path("tide").asText();
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
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

    /**
     * An address with port 18080 on a random host in the loopback range. Outgoing connections on loopback have the
     * source address 127.0.0.1 by default, so that they do not occupy this port.
     */
    private static String randomAddress() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + "." + random.nextInt(1, 255) + ":18080";
    }

    static String settings(String controllerAddress, String storeAddress, String cloudAddress) {
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
                .formatted(controllerAddress, randomAddress(), cloudAddress, storeAddress);
    }

    /** Makes every task run for 100 ms without failure. */
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
