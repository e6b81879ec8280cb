package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Rank;
import org.gullway.protocol.Settings;
import org.gullway.standin.SimulatedNetwork;
import org.gullway.standin.SimulatedTime;
import org.gullway.standin.StandInCloud;
import org.gullway.standin.StandInStore;
import org.gullway.standin.StandInWorker;
import org.gullway.transport.Client;
import org.gullway.transport.Reply;

/** Three whole controllers with stand-ins in virtual time, users who submit and ask, and a check of the rules. */
final class SimulatedWorld {
    static final Duration LEASE = Duration.ofSeconds(20);
    static final Duration CANCEL = Duration.ofSeconds(40);
    private static final Instant MORNING = Instant.parse("2026-11-20T06:00:00Z");
    private static final String STATE = "10.2.0.1:2379";
    private static final String CLOUD = "10.2.0.2:8443";

    final SimulatedTime time = new SimulatedTime();
    final SplittableRandom random;
    final SimulatedNetwork network;
    final StandInStore store;
    final StandInCloud cloud;
    final List<String> broken = new ArrayList<>();
    private final SimulatedTime.Process world = time.process();
    private final Map<String, SimulatedTime.Process> running = new HashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, User> users = new LinkedHashMap<>();
    /** Machines on which a task is now. */
    private final Map<String, Set<String>> places = new HashMap<>();
    private final Map<String, Double> used = new HashMap<>();
    private final Set<String> completed = new HashSet<>();
    private final Map<String, Instant> began = new HashMap<>();
    private int started;
    private Instant quietSince;
    private final Shape shape;

    /** A job about which no question is answered for so long after all troubles is forgotten. */
    private static final Duration FORGOTTEN = Duration.ofSeconds(75);

    /** Size of a world: machines of each type, zone and kind, teams, and how often workers report. */
    record Shape(int capacity, Map<String, Settings.Team> teams, Duration report, double trouble) {
        static final Map<String, Settings.Team> SMALL_TEAMS = Map.of(
                "red", new Settings.Team("red", 16, 24, 0, 0), "blue", new Settings.Team("blue", 16, 64, 0, 0));

        static Shape small(double trouble, int capacity) {
            return new Shape(capacity, SMALL_TEAMS, Duration.ofSeconds(3), trouble);
        }
    }

    /** A job with what its user was told. */
    final class User {
        final JobRequest request;
        final Duration runTime;
        private final Client client;
        private boolean accepted;
        private String told = "";
        private Instant cancelTold;
        private boolean cancelAsked;

        User(JobRequest request, Duration runTime) {
            this.request = request;
            this.runTime = runTime;
            this.client = network.client("users", world);
        }

        boolean over() {
            return told.equals("done") || told.equals("aborted");
        }

        private String node() {
            return List.copyOf(addresses.values()).get(random.nextInt(addresses.size()));
        }

        void submit() {
            client.call(node(), Reply.Request.post("/v2/runs", Cbor.encode(request.toNode()), Duration.ofSeconds(5)),
                    reply -> {
                        if (reply.status() == 201 || reply.status() == 200) {
                            accepted = true;
                            poll();
                        } else if (reply.status() == 400 || reply.status() == 422) {
                            broken.add("forgotten: " + request.id() + " was refused with " + reply.status());
                        } else {
                            world.after(Duration.ofSeconds(1), this::submit);
                        }
                    });
        }

        void cancel() {
            if (over()) {
                return;
            }
            cancelAsked = true;
            boolean known = accepted;
            client.call(node(), Reply.Request.post("/v2/runs/" + request.id() + "/withdraw",
                    Cbor.encode(Cbor.map()), Duration.ofSeconds(5)), reply -> {
                if (reply.status() == 200) {
                    hear(reply, time.now());
                } else if (reply.status() == 404 && known) {
                    broken.add("forgotten: cancellation of " + request.id());
                } else {
                    world.after(Duration.ofSeconds(1), this::cancel);
                }
            });
        }

        private Instant answered;

        private void poll() {
            Instant asked = time.now();
            if (quietSince != null && quietSince.plus(FORGOTTEN).isBefore(asked)
                    && (answered == null || answered.plus(FORGOTTEN).isBefore(asked))) {
                broken.add("forgotten: nothing is answered about " + request.id());
            }
            client.call(node(), Reply.Request.get("/v2/runs/" + request.id(), Duration.ofSeconds(2)), reply -> {
                if (reply.status() == 200) {
                    answered = time.now();
                    hear(reply, asked);
                } else if (reply.status() == 404) {
                    broken.add("forgotten: " + request.id());
                }
            });
            world.after(Duration.ofSeconds(over() ? 25 : 5), this::poll);
        }

        /** A submission that is repeated at any later time is answered with the job's state. */
        void submitAgain() {
            if (!accepted) {
                return;
            }
            Instant asked = time.now();
            client.call(node(), Reply.Request.post("/v2/runs", Cbor.encode(request.toNode()), Duration.ofSeconds(5)),
                    reply -> {
                        if (reply.status() == 200) {
                            hear(reply, asked);
                        } else if (reply.status() == 201 || reply.status() == 400 || reply.status() == 422) {
                            broken.add("forgotten: " + request.id() + " submitted again: " + reply.status());
                        }
                    });
        }

        /** Time from the submission until the first task began; null if none has. */
        Duration waited() {
            Instant first = began.get(request.id());
            return first == null ? null : Duration.between(submitted, first);
        }

        private final Instant submitted = time.now();

        private Instant toldAt = Instant.MIN;

        private void hear(Reply reply, Instant asked) {
            String state;
            try {
                state = Cbor.decode(reply.body()).path("tide").asText();
            } catch (MalformedException e) {
                broken.add("unreadable answer: " + e.getMessage());
                return;
            }
            if (over() && !state.equals(told) && asked.isAfter(toldAt)) {
                broken.add("went_back: " + request.id() + " was " + told + ", then " + state);
            }
            if (state.equals("aborted") && !cancelAsked) {
                broken.add("went_back: " + request.id() + " is cancelled by nobody");
            }
            if (state.equals("done")) {
                for (int i = 0; i < request.tasks(); i++) {
                    if (!completed.contains(request.id() + "/" + i)) {
                        broken.add("not_done: " + request.id() + "/" + i);
                    }
                }
            }
            if (!over() && (state.equals("done") || state.equals("aborted"))) {
                told = state;
                toldAt = time.now();
                if (state.equals("aborted")) {
                    cancelTold = time.now();
                    world.after(CANCEL, () -> places.forEach((task, machines) -> {
                        if (task.startsWith(request.id() + "/") && !machines.isEmpty()) {
                            broken.add("ran_cancelled: " + task + " is on " + machines);
                        }
                    }));
                }
            }
        }
    }

    SimulatedWorld(long seed, double trouble, int capacity) {
        this(seed, Shape.small(trouble, capacity));
    }

    SimulatedWorld(long seed, Shape shape) {
        this.shape = shape;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(time, random.split(), shape.trouble());
        store = new StandInStore(world);
        List<MachineType> types = List.of(
                new MachineType("small", 16, 0, 64, 50, 1, 1.0, 0.3, Duration.ofSeconds(6), List.of("a", "b")),
                new MachineType("large", 32, 0, 256, 50, 1, 2.5, 0.9, Duration.ofSeconds(4), List.of("a", "b")));
        for (int i = 0; i < 3; i++) {
            addresses.put("perch-" + i, "10.0.0." + (i + 1) + ":8080");
        }
        cloud = new StandInCloud(world, types, shape.capacity(), (name, kind) -> {
            String address = "10.1.0." + Integer.parseInt(name.substring(3)) + ":9000";
            StandInWorker worker = new StandInWorker(world, network.client(name, world), new Rules(), random.split(),
                    name, address, kind, addresses, shape.report(), LEASE);
            network.listen(address, world, worker::handle);
            return worker;
        });
        network.listen(STATE, world, store::handle);
        network.listen(CLOUD, world, cloud::handle);
        addresses.keySet().forEach(this::startController);
    }

    /** The world as the workers see it, and the rules that concern them. */
    private final class Rules implements StandInWorker.World {
        @Override
        public JobRequest describe(String job) {
            User user = users.get(job);
            return user == null ? null : user.request;
        }

        @Override
        public Duration runTime(String job) {
            return users.get(job).runTime;
        }

        @Override
        public boolean fails(String machine, String job) {
            return false;
        }

        @Override
        public boolean completed(String task) {
            return completed.contains(task);
        }

        @Override
        public void began(String machine, String task) {
            started++;
            began.putIfAbsent(task.substring(0, task.indexOf('/')), time.now());
            Set<String> on = places.computeIfAbsent(task, t -> new HashSet<>());
            if (!on.isEmpty()) {
                broken.add("ran_twice: " + task + " starts on " + machine + " while on " + on);
            }
            on.add(machine);
            User user = users.get(task.substring(0, task.indexOf('/')));
            if (user.cancelTold != null && time.now().isAfter(user.cancelTold.plus(CANCEL))) {
                broken.add("ran_cancelled: " + task + " starts");
            }
            StandInWorker worker = cloud.worker(machine);
            if (worker != null && worker.kind().spot() && !user.request.spot()) {
                broken.add("wrong_place: " + task + " on " + machine);
            }
            String team = user.request.team();
            double use = used.merge(team, user.request.cpus(), Double::sum);
            if (use > shape.teams().get(team).cpusMax() + 1e-6) {
                broken.add("quota: " + team + " uses " + use);
            }
        }

        @Override
        public void ended(String machine, String task, boolean done) {
            JobRequest request = users.get(task.substring(0, task.indexOf('/'))).request;
            if (places.getOrDefault(task, Set.of()).remove(machine)) {
                used.merge(request.team(), -request.cpus(), Double::sum);
            }
            if (done) {
                completed.add(task);
            }
        }
    }

    void startController(String name) {
        if (running.containsKey(name)) {
            return;
        }
        SimulatedTime.Process process = time.process();
        running.put(name, process);
        List<Settings.Peer> peers = addresses.entrySet().stream().filter(e -> !e.getKey().equals(name))
                .map(e -> new Settings.Peer(e.getKey(), zone(e.getKey()), e.getValue().replace("8080", "8081"))).toList();
        Settings settings = new Settings(name, zone(name), addresses.get(name), addresses.get(name).replace("8080", "8081"),
                peers, CLOUD, STATE, shape.teams(), List.of(), shape.report(), LEASE, CANCEL, 150, StandInStore.CHANGES_PER_SECOND,
                StandInStore.VALUE_BYTES, StandInStore.CHANGES_PER_COMMIT, 10,
                Duration.ofSeconds(3), 1000);
        long skew = random.nextInt(2000) - 1000;
        InstantSource clock = () -> MORNING.plusMillis(skew).plus(Duration.between(Instant.EPOCH, time.now()));
        Controller controller = new Controller(settings, OperatorSettings.DEFAULTS, process,
                network.client(name, process), clock, random.nextLong());
        network.listen(settings.meshAddress(), process, controller::answerPeer);
        controller.start(() -> network.listen(settings.publicAddress(), process, controller::answer));
    }

    /** Two controllers are in zone a, the third in zone b. */
    static String zone(String node) {
        return node.equals("perch-2") ? "b" : "a";
    }

    /** Cuts a zone off from everything, or ends that; inside it all goes on. */
    void cutZone(String zone, boolean cut) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of("users", STATE, CLOUD));
        for (String node : addresses.keySet()) {
            (zone(node).equals(zone) ? inside : outside).addAll(List.of(node, address(node), meshAddress(node)));
        }
        for (StandInWorker worker : cloud.workers()) {
            (worker.kind().zone().equals(zone) ? inside : outside).addAll(List.of(worker.name(), worker.address()));
        }
        for (String in : inside) {
            for (String out : outside) {
                if (cut) {
                    network.cut(in, out);
                    network.cut(out, in);
                } else {
                    network.heal(in, out);
                    network.heal(out, in);
                }
            }
        }
    }

    void crash(String name, Duration back) {
        SimulatedTime.Process process = running.remove(name);
        if (process != null) {
            process.kill();
            network.close(addresses.get(name));
            network.close(addresses.get(name).replace("8080", "8081"));
            world.after(back, () -> startController(name));
        }
    }

    /** All troubles are over: from now on every job is known and nothing is forgotten. */
    void calm() {
        network.heal();
        store.setDown(false);
        quietSince = time.now();
    }

    List<String> nodes() {
        return List.copyOf(addresses.keySet());
    }

    List<String> userAddresses() {
        return List.copyOf(addresses.values());
    }

    String address(String node) {
        return addresses.get(node);
    }

    String meshAddress(String node) {
        return addresses.get(node).replace("8080", "8081");
    }

    static String stateAddress() {
        return STATE;
    }

    void submit(int number, String team, Rank rank, int tasks, double cpus, Duration runTime) {
        String id = String.format("run-%06d", number);
        JobRequest request = new JobRequest(id, cpus >= 16 ? "survey" : "render", team, JobRequest.Shape.ARRAY, rank, tasks, cpus, 0, cpus,
                "img-" + number % 3, 0.5, null, null, false, false, number % 4 != 0, runTime, Duration.ZERO,
                Duration.ZERO, null);
        User user = new User(request, runTime);
        users.put(id, user);
        user.submit();
    }

    void after(Duration delay, Runnable task) {
        world.after(delay, task);
    }

    void run(Duration span) {
        time.runUntil(time.now().plus(span));
    }

    List<User> users() {
        return List.copyOf(users.values());
    }

    List<String> unfinished() {
        return users.values().stream().filter(u -> !u.over()).map(u -> u.request.id() + " " + u.told).toList();
    }

    int started() {
        return started;
    }
}
