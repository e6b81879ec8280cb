package org.gullway;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.fake.FakeWorker;

/** Troubles of simulated days, each for a span and at random places. */
enum Fault {
    CRASH {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.crash(node(cluster, random), Duration.ofMillis(200 + random.nextInt(6000)));
        }
    },
    STANDS_STILL {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.standStill(node(cluster, random), span);
        }
    },
    ALL_CRASH {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.nodes().forEach(name -> cluster.crash(name, Duration.ofMillis(200 + random.nextInt(6000))));
        }
    },
    /** A process is back within a fraction of a second, several times in a row, also in the middle of an election. */
    QUICK_RESTARTS {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String same = random.nextBoolean() ? node(cluster, random) : null;
            for (int i = 0; i < 4; i++) {
                String name = same == null ? node(cluster, random) : same;
                cluster.after(
                        Duration.ofMillis(random.nextInt(4000)),
                        () -> cluster.crash(name, Duration.ofMillis(5 + random.nextInt(400))));
            }
        }
    },
    STORE_DOWN {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.setDown(true);
            cluster.after(span, () -> cluster.store.setDown(false));
        }
    },
    CUT_FROM_STATE {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cut(cluster, node(cluster, random), SimulatedCluster.stateAddress(), span);
        }
    },
    /** The state service and the other controllers are out of reach, the workers are not. */
    LEFT_WITH_WORKERS {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String node = node(cluster, random);
            cut(cluster, node, SimulatedCluster.stateAddress(), span);
            for (String other : cluster.nodes()) {
                cut(cluster, node, cluster.meshAddress(other), span);
                cut(cluster, other, cluster.meshAddress(node), span);
            }
        }
    },
    CUT_FROM_ALL {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cut(cluster, node(cluster, random), "*", span);
        }
    },
    MESH_REFUSES {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.nodes().forEach(other -> cut(cluster, "*", cluster.meshAddress(other), span));
        }
    },
    MACHINES_DIE {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.workers().stream().limit(1 + random.nextInt(3)).forEach(FakeWorker::die);
        }
    },
    SPOT_TAKEN {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.workers().stream()
                    .filter(w -> w.kind().spot())
                    .limit(1 + random.nextInt(5))
                    .forEach(cluster.cloud::take);
        }
    },
    ZONE_CUT {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String zone = random.nextBoolean() ? "a" : "b";
            cluster.cutZone(zone, true);
            cluster.after(span, () -> cluster.cutZone(zone, false));
        }
    },
    MACHINES_CUT {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.workers().stream().limit(1 + random.nextInt(2)).forEach(worker -> {
                cut(cluster, worker.name(), "*", span);
                cut(cluster, "*", worker.address(), span);
            });
        }
    },
    /** Reports of machines arrive, but neither answers nor commands reach them. */
    MACHINES_DEAF {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            List<FakeWorker> workers = cluster.cloud.workers();
            workers.stream()
                    .skip(random.nextInt(Math.max(1, workers.size())))
                    .limit(1 + random.nextInt(2))
                    .forEach(worker -> {
                        cluster.network.unanswered(worker.name(), true);
                        cluster.after(span, () -> cluster.network.unanswered(worker.name(), false));
                        cut(cluster, "*", worker.address(), span);
                    });
        }
    },
    /** Copies of reports come from seconds to well over a lease late, to any controller. */
    LATE_COPIES {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.network.copyLate(
                    0.3, "/agent/beat", SimulatedCluster.LEASE.multipliedBy(3), cluster.userAddresses());
        }
    },
    /** Transactions get no answer and are carried out after newer ones. */
    LATE_WRITES {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.lateWrites(0.3, random.split());
            cluster.after(span, () -> cluster.store.lateWrites(0, random));
        }
    },
    /** Transactions are carried out at once, and only their answers are lost. */
    LOST_ANSWERS {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.loseAnswers(0.3, random.split());
            cluster.after(span, () -> cluster.store.loseAnswers(0, random));
        }
    },
    STORE_SLOW {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.store.slow(600, random.split());
            cluster.after(span, () -> cluster.store.slow(0, random));
        }
    },
    /** The state service refuses one controller alone. */
    REFUSED_ALONE {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String node = node(cluster, random);
            cluster.store.refuseFrom(node, true);
            cluster.after(span, () -> cluster.store.refuseFrom(node, false));
        }
    },
    /** It refuses the leader alone, jobs are cancelled meanwhile, and then it is out for longer than the cancel limit. */
    REFUSED_THEN_DOWN {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            String node = cluster.leader() == null ? node(cluster, random) : cluster.leader();
            cluster.store.refuseFrom(node, true);
            cancel(cluster, random, 0.4);
            cluster.after(Duration.ofMillis(500 + random.nextInt(6000)), () -> {
                cluster.store.setDown(true);
                cluster.after(SimulatedCluster.CANCEL.plus(span), () -> {
                    cluster.store.refuseFrom(node, false);
                    cluster.store.setDown(false);
                });
            });
        }
    },
    /** These machines reach no controller, while direct commands reach them. */
    MACHINES_MUTE {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            some(cluster, random, 3).forEach(worker -> {
                cluster.network.mute(worker.name(), true);
                cluster.after(span, () -> cluster.network.mute(worker.name(), false));
            });
        }
    },
    MACHINES_HANG {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            some(cluster, random, 3).forEach(worker -> worker.hang(span));
        }
    },
    /** Jobs are called off while some of their machines hang. */
    CANCEL_AND_HANG {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cancel(cluster, random, 0.4);
            some(cluster, random, 8)
                    .forEach(worker -> cluster.after(Duration.ofMillis(random.nextInt(200)), () -> worker.hang(span)));
        }
    },
    /** Reports are held back and arrive at a leader that has acted meanwhile. */
    REPORTS_HELD_BACK {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            List<FakeWorker> held = some(cluster, random, 3);
            held.forEach(worker -> cluster.network.holdBack(worker.name()));
            if (cluster.leader() != null) {
                cluster.crash(cluster.leader(), Duration.ofMillis(200 + random.nextInt(20_000)));
            }
            cluster.after(
                    span,
                    () -> held.forEach(worker -> cluster.network.release(
                            worker.name(),
                            cluster.address(cluster.leader() == null ? node(cluster, random) : cluster.leader()))));
        }
    },
    /** Direct commands are held up on their way, unanswered, and arrive once, 2 to 16 s late. */
    LATE_COMMANDS {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.network.holdUp(0.4, "/do");
            cluster.after(span, () -> cluster.network.holdUp(0, "/do"));
        }
    },
    /** Copies of reports are kept, and reach every controller as the next leader begins. */
    REPORTS_FOR_THE_NEXT_LEADER {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.network.keepCopies(0.3, "/agent/beat");
            cluster.whenLeaderBegins(leader -> cluster.network.releaseCopies(cluster.userAddresses()));
            cluster.after(span, () -> {
                if (cluster.leader() != null) {
                    cluster.crash(cluster.leader(), Duration.ofMillis(200 + random.nextInt(6000)));
                }
            });
        }
    },
    /** New machines are up within two seconds. */
    QUICK_MACHINES {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.cloud.bootWithin(Duration.ofMillis(200 + random.nextInt(1800)));
        }
    },
    /** Users ask at all nodes within milliseconds after each news of their jobs, and repeat the submission. */
    CLOSE_LOOKS {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            cluster.whenNews(user -> cluster.lookClosely(user, random));
            cluster.after(span, () -> cluster.whenNews(user -> {}));
        }
    },
    /** Users repeat submissions, cancel jobs that are over, and send what can never run. */
    ODD_REQUESTS {
        @Override
        void strike(SimulatedCluster cluster, SplittableRandom random, Duration span) {
            int number = 100_000 + 2 * random.nextInt(400_000);
            cluster.submitOdd(number);
            cluster.users().forEach(TestUser::submitAgain);
            cluster.users().stream()
                    .filter(TestUser::over)
                    .forEach(user -> user.cancelOnce(cluster.address(node(cluster, random)), () -> {}));
        }
    };

    abstract void strike(SimulatedCluster cluster, SplittableRandom random, Duration span);

    private static String node(SimulatedCluster cluster, SplittableRandom random) {
        return cluster.nodes().get(random.nextInt(cluster.nodes().size()));
    }

    private static List<FakeWorker> some(SimulatedCluster cluster, SplittableRandom random, int most) {
        List<FakeWorker> workers = cluster.cloud.workers();
        return workers.stream()
                .skip(random.nextInt(Math.max(1, workers.size())))
                .limit(1 + random.nextInt(most))
                .toList();
    }

    private static void cancel(SimulatedCluster cluster, SplittableRandom random, double share) {
        cluster.users().stream().filter(user -> random.nextDouble() < share).forEach(TestUser::cancel);
    }

    private static void cut(SimulatedCluster cluster, String from, String to, Duration span) {
        cluster.network.cut(from, to);
        cluster.after(span, () -> cluster.network.heal(from, to));
    }
}
