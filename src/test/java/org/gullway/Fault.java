package org.gullway;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.fake.FakeAgent;

/** Faults of simulated scenarios, each for a span and at random places. */
enum Fault {
    CRASH {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.crash(anyNode(cluster, random), Duration.ofMillis(200 + random.nextInt(6000)));
        }
    },
    FREEZE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.freeze(anyNode(cluster, random), span);
        }
    },
    ALL_CRASH {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.nodes().forEach(name -> cluster.crash(name, Duration.ofMillis(200 + random.nextInt(6000))));
        }
    },
    /** Controllers restart within a fraction of a second, several times in a row, also during an election. */
    QUICK_RESTARTS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String same = random.nextBoolean() ? anyNode(cluster, random) : null;
            for (int i = 0; i < 4; i++) {
                String name = same == null ? anyNode(cluster, random) : same;
                cluster.after(
                        Duration.ofMillis(random.nextInt(4000)),
                        () -> cluster.crash(name, Duration.ofMillis(5 + random.nextInt(400))));
            }
        }
    },
    STORE_OUTAGE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.setDown(true);
            cluster.after(span, () -> cluster.store.setDown(false));
        }
    },
    CUT_FROM_STORE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cut(cluster, anyNode(cluster, random), SimulatedCluster.storeAddress(), span);
        }
    },
    /** The state store and the other controllers are out of reach, the agents are not. */
    ONLY_AGENTS_REACHABLE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String node = anyNode(cluster, random);
            cut(cluster, node, SimulatedCluster.storeAddress(), span);
            for (String other : cluster.nodes()) {
                cut(cluster, node, cluster.peerAddress(other), span);
                cut(cluster, other, cluster.peerAddress(node), span);
            }
        }
    },
    CUT_FROM_ALL {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cut(cluster, anyNode(cluster, random), "*", span);
        }
    },
    PEERS_UNREACHABLE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.nodes().forEach(other -> cut(cluster, "*", cluster.peerAddress(other), span));
        }
    },
    MACHINES_DIE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.agents().stream().limit(1 + random.nextInt(3)).forEach(FakeAgent::terminate);
        }
    },
    SPOT_RECLAIMED {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.agents().stream()
                    .filter(w -> w.kind().spot())
                    .limit(1 + random.nextInt(5))
                    .forEach(cluster.cloud::reclaimSpot);
        }
    },
    ZONE_PARTITION {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String zone = random.nextBoolean() ? "a" : "b";
            cluster.partitionZone(zone, true);
            cluster.after(span, () -> cluster.partitionZone(zone, false));
        }
    },
    MACHINES_CUT {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.agents().stream().limit(1 + random.nextInt(2)).forEach(agent -> {
                cut(cluster, agent.name(), "*", span);
                cut(cluster, "*", agent.address(), span);
            });
        }
    },
    /** Heartbeats of machines arrive, but neither responses nor commands reach them. */
    INBOUND_PARTITION {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            List<FakeAgent> workers = cluster.cloud.agents();
            workers.stream()
                    .skip(random.nextInt(Math.max(1, workers.size())))
                    .limit(1 + random.nextInt(2))
                    .forEach(agent -> {
                        cluster.network.dropResponses(agent.name(), true);
                        cluster.after(span, () -> cluster.network.dropResponses(agent.name(), false));
                        cut(cluster, "*", agent.address(), span);
                    });
        }
    },
    /** Copies of heartbeats come from seconds to well over a lease late, to any controller. */
    LATE_HEARTBEAT_COPIES {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.network.duplicateLate(
                    0.3, "/agent/beat", SimulatedCluster.LEASE.multipliedBy(3), cluster.userAddresses());
        }
    },
    /** Transactions get no response and are applied after newer ones. */
    LATE_WRITES {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.delayCommits(0.3, random.split());
            cluster.after(span, () -> cluster.store.delayCommits(0, random));
        }
    },
    /** Transactions are applied at once, and only their responses are lost. */
    LOST_COMMIT_RESPONSES {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.dropResponses(0.3, random.split());
            cluster.after(span, () -> cluster.store.dropResponses(0, random));
        }
    },
    STORE_SLOW {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.addLatency(600, random.split());
            cluster.after(span, () -> cluster.store.addLatency(0, random));
        }
    },
    /** The state store rejects one controller alone. */
    REJECTED_ALONE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String node = anyNode(cluster, random);
            cluster.store.rejectFrom(node, true);
            cluster.after(span, () -> cluster.store.rejectFrom(node, false));
        }
    },
    /**
     * The store rejects the leader alone, jobs are cancelled in that time, and then it is down for longer than the
     * cancel limit.
     */
    REJECTED_THEN_OUTAGE {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String node = cluster.leader() == null ? anyNode(cluster, random) : cluster.leader();
            cluster.store.rejectFrom(node, true);
            cancelSome(cluster, random, 0.4);
            cluster.after(Duration.ofMillis(500 + random.nextInt(6000)), () -> {
                cluster.store.setDown(true);
                cluster.after(SimulatedCluster.CANCEL.plus(span), () -> {
                    cluster.store.rejectFrom(node, false);
                    cluster.store.setDown(false);
                });
            });
        }
    },
    /** These machines reach no controller, while direct commands reach them. */
    OUTBOUND_PARTITION {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            someAgents(cluster, random, 3).forEach(agent -> {
                cluster.network.blockOutbound(agent.name(), true);
                cluster.after(span, () -> cluster.network.blockOutbound(agent.name(), false));
            });
        }
    },
    MACHINES_HANG {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            someAgents(cluster, random, 3).forEach(agent -> agent.hang(span));
        }
    },
    /** Jobs are cancelled while some of their machines hang. */
    CANCEL_AND_HANG {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cancelSome(cluster, random, 0.4);
            someAgents(cluster, random, 8)
                    .forEach(agent -> cluster.after(Duration.ofMillis(random.nextInt(200)), () -> agent.hang(span)));
        }
    },
    /** Heartbeats are held back and arrive at a leader that has taken over in that time. */
    HEARTBEATS_HELD {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            List<FakeAgent> held = someAgents(cluster, random, 3);
            held.forEach(agent -> cluster.network.holdRequests(agent.name()));
            if (cluster.leader() != null) {
                cluster.crash(cluster.leader(), Duration.ofMillis(200 + random.nextInt(20_000)));
            }
            cluster.after(
                    span,
                    () -> held.forEach(agent -> cluster.network.release(
                            agent.name(),
                            cluster.address(cluster.leader() == null ? anyNode(cluster, random) : cluster.leader()))));
        }
    },
    /** Direct commands are delayed by 2 to 16 s, without a response, and arrive once. */
    LATE_COMMANDS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.network.delayRequests(0.4, "/do");
            cluster.after(span, () -> cluster.network.delayRequests(0, "/do"));
        }
    },
    /** Copies of heartbeats are kept, and reach every controller as the next leader takes over. */
    HEARTBEATS_FOR_NEXT_LEADER {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.network.recordCopies(0.3, "/agent/beat");
            cluster.onNewLeader(leader -> cluster.network.replayCopies(cluster.userAddresses()));
            cluster.after(span, () -> {
                if (cluster.leader() != null) {
                    cluster.crash(cluster.leader(), Duration.ofMillis(200 + random.nextInt(6000)));
                }
            });
        }
    },
    /** New machines are up within two seconds. */
    FAST_BOOTS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.setMaxBootTime(Duration.ofMillis(200 + random.nextInt(1800)));
        }
    },
    /**
     * Users query all controllers within milliseconds after each state change of their jobs, and repeat the
     * submission.
     */
    QUERY_BURSTS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.onStateChange(user -> cluster.queryInBursts(user, random));
            cluster.after(span, () -> cluster.onStateChange(user -> {}));
        }
    },
    /** Users repeat submissions, cancel finished jobs, and submit infeasible ones. */
    INVALID_REQUESTS {
        @Override
        void inject(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            int number = 100_000 + 2 * random.nextInt(400_000);
            cluster.submitInvalid(number);
            cluster.users().forEach(TestUser::resubmit);
            cluster.users().stream()
                    .filter(TestUser::isFinished)
                    .forEach(user -> user.cancelOnce(cluster.address(anyNode(cluster, random)), () -> {}));
        }
    };

    abstract void inject(SimulatedCluster cluster, SplittableRandom random, Duration span);

    private static String anyNode(SimulatedCluster cluster, SplittableRandom random) {
        return cluster.nodes().get(random.nextInt(cluster.nodes().size()));
    }

    private static List<FakeAgent> someAgents(SimulatedCluster cluster, SplittableRandom random, int max) {
        List<FakeAgent> agents = cluster.cloud.agents();
        return agents.stream()
                .skip(random.nextInt(Math.max(1, agents.size())))
                .limit(1 + random.nextInt(max))
                .toList();
    }

    private static void cancelSome(SimulatedCluster cluster, SplittableRandom random, double share) {
        cluster.users().stream().filter(user -> random.nextDouble() < share).forEach(TestUser::cancel);
    }

    private static void cut(SimulatedCluster cluster, String from, String to, Duration span) {
        cluster.network.cut(from, to);
        cluster.after(span, () -> cluster.network.heal(from, to));
    }
}
