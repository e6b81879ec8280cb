package org.gullway;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.fake.FakeWorker;

/** Troubles of simulated days, each for a span and at random places. */
enum Fault {
    CRASH {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.crash(node(world, random), Duration.ofMillis(200 + random.nextInt(6000)));
        }
    },
    STANDS_STILL {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.standStill(node(world, random), span);
        }
    },
    ALL_CRASH {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.nodes().forEach(name -> world.crash(name, Duration.ofMillis(200 + random.nextInt(6000))));
        }
    },
    /** A process is back within a fraction of a second, several times in a row, also in the middle of an election. */
    QUICK_RESTARTS {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            String same = random.nextBoolean() ? node(world, random) : null;
            for (int i = 0; i < 4; i++) {
                String name = same == null ? node(world, random) : same;
                world.after(
                        Duration.ofMillis(random.nextInt(4000)),
                        () -> world.crash(name, Duration.ofMillis(5 + random.nextInt(400))));
            }
        }
    },
    STORE_DOWN {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.store.setDown(true);
            world.after(span, () -> world.store.setDown(false));
        }
    },
    CUT_FROM_STATE {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            cut(world, node(world, random), SimulatedWorld.stateAddress(), span);
        }
    },
    /** The state service and the other controllers are out of reach, the workers are not. */
    LEFT_WITH_WORKERS {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            String node = node(world, random);
            cut(world, node, SimulatedWorld.stateAddress(), span);
            for (String other : world.nodes()) {
                cut(world, node, world.meshAddress(other), span);
                cut(world, other, world.meshAddress(node), span);
            }
        }
    },
    CUT_FROM_ALL {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            cut(world, node(world, random), "*", span);
        }
    },
    MESH_REFUSES {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.nodes().forEach(other -> cut(world, "*", world.meshAddress(other), span));
        }
    },
    MACHINES_DIE {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.cloud.workers().stream().limit(1 + random.nextInt(3)).forEach(FakeWorker::die);
        }
    },
    SPOT_TAKEN {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.cloud.workers().stream()
                    .filter(w -> w.kind().spot())
                    .limit(1 + random.nextInt(5))
                    .forEach(world.cloud::take);
        }
    },
    ZONE_CUT {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            String zone = random.nextBoolean() ? "a" : "b";
            world.cutZone(zone, true);
            world.after(span, () -> world.cutZone(zone, false));
        }
    },
    MACHINES_CUT {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.cloud.workers().stream().limit(1 + random.nextInt(2)).forEach(worker -> {
                cut(world, worker.name(), "*", span);
                cut(world, "*", worker.address(), span);
            });
        }
    },
    /** Reports of machines arrive, but neither answers nor commands reach them. */
    MACHINES_DEAF {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            List<FakeWorker> workers = world.cloud.workers();
            workers.stream()
                    .skip(random.nextInt(Math.max(1, workers.size())))
                    .limit(1 + random.nextInt(2))
                    .forEach(worker -> {
                        world.network.unanswered(worker.name(), true);
                        world.after(span, () -> world.network.unanswered(worker.name(), false));
                        cut(world, "*", worker.address(), span);
                    });
        }
    },
    /** Copies of reports come from seconds to well over a lease late, to any controller. */
    LATE_COPIES {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.network.copyLate(0.3, "/agent/beat", SimulatedWorld.LEASE.multipliedBy(3), world.userAddresses());
        }
    },
    /** Transactions get no answer and are carried out after newer ones. */
    LATE_WRITES {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.store.lateWrites(0.3, random.split());
            world.after(span, () -> world.store.lateWrites(0, random));
        }
    },
    /** Transactions are carried out at once, and only their answers are lost. */
    LOST_ANSWERS {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.store.loseAnswers(0.3, random.split());
            world.after(span, () -> world.store.loseAnswers(0, random));
        }
    },
    STORE_SLOW {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.store.slow(600, random.split());
            world.after(span, () -> world.store.slow(0, random));
        }
    },
    /** The state service refuses one controller alone. */
    REFUSED_ALONE {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            String node = node(world, random);
            world.store.refuseFrom(node, true);
            world.after(span, () -> world.store.refuseFrom(node, false));
        }
    },
    /** It refuses the leader alone, jobs are cancelled meanwhile, and then it is out for longer than the cancel limit. */
    REFUSED_THEN_DOWN {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            String node = world.leader() == null ? node(world, random) : world.leader();
            world.store.refuseFrom(node, true);
            cancel(world, random, 0.4);
            world.after(Duration.ofMillis(500 + random.nextInt(6000)), () -> {
                world.store.setDown(true);
                world.after(SimulatedWorld.CANCEL.plus(span), () -> {
                    world.store.refuseFrom(node, false);
                    world.store.setDown(false);
                });
            });
        }
    },
    /** These machines reach no controller, while direct commands reach them. */
    MACHINES_MUTE {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            some(world, random, 3).forEach(worker -> {
                world.network.mute(worker.name(), true);
                world.after(span, () -> world.network.mute(worker.name(), false));
            });
        }
    },
    MACHINES_HANG {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            some(world, random, 3).forEach(worker -> worker.hang(span));
        }
    },
    /** Jobs are called off while some of their machines hang. */
    CANCEL_AND_HANG {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            cancel(world, random, 0.4);
            some(world, random, 8)
                    .forEach(worker -> world.after(Duration.ofMillis(random.nextInt(200)), () -> worker.hang(span)));
        }
    },
    /** Reports are held back and arrive at a leader that has acted meanwhile. */
    REPORTS_HELD_BACK {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            List<FakeWorker> held = some(world, random, 3);
            held.forEach(worker -> world.network.holdBack(worker.name()));
            if (world.leader() != null) {
                world.crash(world.leader(), Duration.ofMillis(200 + random.nextInt(20_000)));
            }
            world.after(
                    span,
                    () -> held.forEach(worker -> world.network.release(
                            worker.name(),
                            world.address(world.leader() == null ? node(world, random) : world.leader()))));
        }
    },
    /** Direct commands are held up on their way, unanswered, and arrive once, 2 to 16 s late. */
    LATE_COMMANDS {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.network.holdUp(0.4, "/do");
            world.after(span, () -> world.network.holdUp(0, "/do"));
        }
    },
    /** Copies of reports are kept, and reach every controller as the next leader begins. */
    REPORTS_FOR_THE_NEXT_LEADER {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.network.keepCopies(0.3, "/agent/beat");
            world.whenLeaderBegins(leader -> world.network.releaseCopies(world.userAddresses()));
            world.after(span, () -> {
                if (world.leader() != null) {
                    world.crash(world.leader(), Duration.ofMillis(200 + random.nextInt(6000)));
                }
            });
        }
    },
    /** New machines are up within two seconds. */
    QUICK_MACHINES {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.cloud.bootWithin(Duration.ofMillis(200 + random.nextInt(1800)));
        }
    },
    /** Users ask at all nodes within milliseconds after each news of their jobs, and repeat the submission. */
    CLOSE_LOOKS {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.whenNews(user -> world.lookClosely(user, random));
            world.after(span, () -> world.whenNews(user -> {}));
        }
    },
    /** Users repeat submissions, cancel jobs that are over, and send what can never run. */
    ODD_REQUESTS {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            int number = 100_000 + 2 * random.nextInt(400_000);
            world.submitOdd(number);
            world.users().forEach(User::submitAgain);
            world.users().stream()
                    .filter(User::over)
                    .forEach(user -> user.cancelOnce(world.address(node(world, random)), () -> {}));
        }
    };

    abstract void strike(SimulatedWorld world, SplittableRandom random, Duration span);

    private static String node(SimulatedWorld world, SplittableRandom random) {
        return world.nodes().get(random.nextInt(world.nodes().size()));
    }

    private static List<FakeWorker> some(SimulatedWorld world, SplittableRandom random, int most) {
        List<FakeWorker> workers = world.cloud.workers();
        return workers.stream()
                .skip(random.nextInt(Math.max(1, workers.size())))
                .limit(1 + random.nextInt(most))
                .toList();
    }

    private static void cancel(SimulatedWorld world, SplittableRandom random, double share) {
        world.users().stream().filter(user -> random.nextDouble() < share).forEach(User::cancel);
    }

    private static void cut(SimulatedWorld world, String from, String to, Duration span) {
        world.network.cut(from, to);
        world.after(span, () -> world.network.heal(from, to));
    }
}
