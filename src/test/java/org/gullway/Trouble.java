package org.gullway;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.standin.StandInWorker;

/** Troubles of simulated days, each for a span and at random places. */
enum Trouble {
    CRASH {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.crash(node(world, random), Duration.ofMillis(200 + random.nextInt(6000)));
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
                world.after(Duration.ofMillis(random.nextInt(4000)),
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
            world.cloud.workers().stream().limit(1 + random.nextInt(3)).forEach(StandInWorker::die);
        }
    },
    SPOT_TAKEN {
        @Override
        void strike(SimulatedWorld world, SplittableRandom random, Duration span) {
            world.cloud.workers().stream().filter(w -> w.kind().spot())
                    .limit(1 + random.nextInt(5)).forEach(world.cloud::take);
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
            List<StandInWorker> workers = world.cloud.workers();
            workers.stream().skip(random.nextInt(Math.max(1, workers.size()))).limit(1 + random.nextInt(2))
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
    };

    abstract void strike(SimulatedWorld world, SplittableRandom random, Duration span);

    private static String node(SimulatedWorld world, SplittableRandom random) {
        return world.nodes().get(random.nextInt(world.nodes().size()));
    }

    private static void cut(SimulatedWorld world, String from, String to, Duration span) {
        world.network.cut(from, to);
        world.after(span, () -> world.network.heal(from, to));
    }
}
