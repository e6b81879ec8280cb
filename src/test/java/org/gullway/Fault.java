package org.gullway;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.fake.FakeAgent;

/** Faults that are injected into a simulated cluster. Targets are chosen at random. */
enum Fault {
    CONTROLLER_CRASH {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.crash(randomNode(cluster, random), Duration.ofMillis(200 + random.nextInt(6000)));
        }
    },
    /** A controller's process executes nothing, while clocks and the network go on. */
    CONTROLLER_FREEZE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.freeze(randomNode(cluster, random), duration);
        }
    },
    ALL_CONTROLLERS_CRASH {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.nodes().forEach(name -> cluster.crash(name, Duration.ofMillis(200 + random.nextInt(6000))));
        }
    },
    /** Four crashes within 4 s, each for less than half a second: all of one controller, or each of a random one. */
    REPEATED_CONTROLLER_CRASHES {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            String fixedNode = random.nextBoolean() ? randomNode(cluster, random) : null;
            for (int i = 0; i < 4; i++) {
                String name = fixedNode == null ? randomNode(cluster, random) : fixedNode;
                cluster.after(
                        Duration.ofMillis(random.nextInt(4000)),
                        () -> cluster.crash(name, Duration.ofMillis(5 + random.nextInt(400))));
            }
        }
    },
    STORE_OUTAGE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.store.setDown(true);
            cluster.after(duration, () -> cluster.store.setDown(false));
        }
    },
    CONTROLLER_PARTITIONED_FROM_STORE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cutTemporarily(cluster, randomNode(cluster, random), SimulatedCluster.storeAddress(), duration);
        }
    },
    /** A controller reaches agents, but neither the state store nor the other controllers. */
    CONTROLLER_REACHES_ONLY_AGENTS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            String node = randomNode(cluster, random);
            cutTemporarily(cluster, node, SimulatedCluster.storeAddress(), duration);
            for (String other : cluster.nodes()) {
                cutTemporarily(cluster, node, cluster.peerAddress(other), duration);
                cutTemporarily(cluster, other, cluster.peerAddress(node), duration);
            }
        }
    },
    /** A controller cannot send any request, while requests to it arrive. */
    CONTROLLER_OUTBOUND_PARTITION {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cutTemporarily(cluster, randomNode(cluster, random), "*", duration);
        }
    },
    /** No controller can reach another controller. */
    CONTROLLERS_PARTITIONED_FROM_EACH_OTHER {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.nodes().forEach(other -> cutTemporarily(cluster, "*", cluster.peerAddress(other), duration));
        }
    },
    MACHINES_TERMINATE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.cloud.agents().stream().limit(1 + random.nextInt(3)).forEach(FakeAgent::terminate);
        }
    },
    SPOT_MACHINES_RECLAIMED {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.cloud.agents().stream()
                    .filter(agent -> agent.kind().spot())
                    .limit(1 + random.nextInt(5))
                    .forEach(cluster.cloud::reclaimSpot);
        }
    },
    ZONE_PARTITION {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            String zone = random.nextBoolean() ? "a" : "b";
            cluster.setZonePartitioned(zone, true);
            cluster.after(duration, () -> cluster.setZonePartitioned(zone, false));
        }
    },
    /** Some machines can neither send nor receive requests. */
    MACHINES_PARTITIONED {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.cloud.agents().stream().limit(1 + random.nextInt(2)).forEach(agent -> {
                cutTemporarily(cluster, agent.name(), "*", duration);
                cutTemporarily(cluster, "*", agent.address(), duration);
            });
        }
    },
    /** Heartbeats of some agents reach the controllers, but neither responses nor commands reach these agents. */
    MACHINES_INBOUND_PARTITION {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            List<FakeAgent> agents = cluster.cloud.agents();
            agents.stream()
                    .skip(random.nextInt(Math.max(1, agents.size())))
                    .limit(1 + random.nextInt(2))
                    .forEach(agent -> {
                        cluster.network.dropResponses(agent.name(), true);
                        cluster.after(duration, () -> cluster.network.dropResponses(agent.name(), false));
                        cutTemporarily(cluster, "*", agent.address(), duration);
                    });
        }
    },
    /** Heartbeats are delivered a second time, up to three lease durations later, to any controller. */
    LATE_HEARTBEAT_COPIES {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.network.duplicateLate(
                    0.3, "/agent/beat", SimulatedCluster.AGENT_LEASE.multipliedBy(3), cluster.publicAddresses());
        }
    },
    /** Some transactions get no response and are applied late, after newer transactions. */
    LATE_COMMITS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.store.delayCommits(0.3, random.split());
            cluster.after(duration, () -> cluster.store.delayCommits(0, random));
        }
    },
    /** Some transactions are applied at once, but their responses are lost. */
    LOST_COMMIT_RESPONSES {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.store.dropResponses(0.3, random.split());
            cluster.after(duration, () -> cluster.store.dropResponses(0, random));
        }
    },
    SLOW_STORE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.store.addLatency(600, random.split());
            cluster.after(duration, () -> cluster.store.addLatency(0, random));
        }
    },
    /** The state store rejects all requests of one controller and serves the others. */
    STORE_REJECTS_ONE_CONTROLLER {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            String node = randomNode(cluster, random);
            cluster.store.rejectFrom(node, true);
            cluster.after(duration, () -> cluster.store.rejectFrom(node, false));
        }
    },
    /**
     * The state store rejects all requests of the leader. Jobs are cancelled in that time, so the leader does not
     * know of the cancellations. Then the state store is down for longer than the cancellation limit.
     */
    STORE_REJECTS_LEADER_THEN_OUTAGE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            String node = cluster.leader() == null ? randomNode(cluster, random) : cluster.leader();
            cluster.store.rejectFrom(node, true);
            cancelRandomJobs(cluster, random, 0.4);
            cluster.after(Duration.ofMillis(500 + random.nextInt(6000)), () -> {
                cluster.store.setDown(true);
                cluster.after(SimulatedCluster.CANCELLATION_LIMIT.plus(duration), () -> {
                    cluster.store.rejectFrom(node, false);
                    cluster.store.setDown(false);
                });
            });
        }
    },
    /** Some agents cannot send any request, while commands reach them. */
    MACHINES_OUTBOUND_PARTITION {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            randomAgents(cluster, random, 3).forEach(agent -> {
                cluster.network.blockOutbound(agent.name(), true);
                cluster.after(duration, () -> cluster.network.blockOutbound(agent.name(), false));
            });
        }
    },
    MACHINES_HANG {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            randomAgents(cluster, random, 3).forEach(agent -> agent.hang(duration));
        }
    },
    /** Jobs are cancelled while some of their machines hang. */
    CANCELLATIONS_WHILE_MACHINES_HANG {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cancelRandomJobs(cluster, random, 0.4);
            randomAgents(cluster, random, 8)
                    .forEach(
                            agent -> cluster.after(Duration.ofMillis(random.nextInt(200)), () -> agent.hang(duration)));
        }
    },
    /** The leader crashes, and heartbeats of some agents are held back. Later they arrive at the current leader. */
    HEARTBEATS_DELAYED_ACROSS_FAILOVER {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            List<FakeAgent> delayedAgents = randomAgents(cluster, random, 3);
            delayedAgents.forEach(agent -> cluster.network.holdRequests(agent.name()));
            if (cluster.leader() != null) {
                cluster.crash(cluster.leader(), Duration.ofMillis(200 + random.nextInt(20_000)));
            }
            cluster.after(
                    duration,
                    () -> delayedAgents.forEach(agent -> cluster.network.release(
                            agent.name(),
                            cluster.address(
                                    cluster.leader() == null ? randomNode(cluster, random) : cluster.leader()))));
        }
    },
    /** Some command batches get no response and arrive once, 2 to 16 s late. */
    LATE_COMMANDS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.network.delayRequests(0.4, "/do");
            cluster.after(duration, () -> cluster.network.delayRequests(0, "/do"));
        }
    },
    /** Copies of heartbeats are delivered to every controller at the moment at which the next leader is elected. */
    HEARTBEAT_COPIES_AT_FAILOVER {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.network.recordCopies(0.3, "/agent/beat");
            cluster.onNewLeader(leader -> cluster.network.replayCopies(cluster.publicAddresses()));
            cluster.after(duration, () -> {
                if (cluster.leader() != null) {
                    cluster.crash(cluster.leader(), Duration.ofMillis(200 + random.nextInt(6000)));
                }
            });
        }
    },
    /** From now on machines boot within two seconds. */
    FAST_MACHINE_BOOT {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.cloud.setMaxBootTime(Duration.ofMillis(200 + random.nextInt(1800)));
        }
    },
    /**
     * After each state change of a job, its user queries all controllers within milliseconds and repeats the
     * submission.
     */
    QUERY_BURSTS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            cluster.onAcceptedOrFinished(user -> cluster.queryInBursts(user, random));
            cluster.after(duration, () -> cluster.onAcceptedOrFinished(user -> {}));
        }
    },
    /** Users repeat submissions, cancel finished jobs, and submit malformed and infeasible jobs. */
    INVALID_REQUESTS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration) {
            int number = 100_000 + 2 * random.nextInt(400_000);
            cluster.submitInvalid(number);
            cluster.users().forEach(TestUser::resubmit);
            cluster.users().stream()
                    .filter(TestUser::isFinished)
                    .forEach(user -> user.cancelOnce(cluster.address(randomNode(cluster, random)), () -> {}));
        }
    };

    /**
     * Injects the fault.
     *
     * @param duration how long a temporary fault lasts, or the delay of its last step. Crashes, terminations and
     *     permanent changes of the cluster ignore it.
     */
    abstract void inject(SimulatedCluster cluster, SplittableRandom random, Duration duration);

    private static String randomNode(SimulatedCluster cluster, SplittableRandom random) {
        return cluster.nodes().get(random.nextInt(cluster.nodes().size()));
    }

    private static List<FakeAgent> randomAgents(SimulatedCluster cluster, SplittableRandom random, int max) {
        List<FakeAgent> agents = cluster.cloud.agents();
        return agents.stream()
                .skip(random.nextInt(Math.max(1, agents.size())))
                .limit(1 + random.nextInt(max))
                .toList();
    }

    private static void cancelRandomJobs(SimulatedCluster cluster, SplittableRandom random, double share) {
        cluster.users().stream().filter(user -> random.nextDouble() < share).forEach(TestUser::cancel);
    }

    private static void cutTemporarily(SimulatedCluster cluster, String from, String to, Duration duration) {
        cluster.network.cut(from, to);
        cluster.after(duration, () -> cluster.network.heal(from, to));
    }
}
