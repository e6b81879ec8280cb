package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.SimulatedWorld.Bounds;
import org.gullway.fake.FakeWorker;
import org.gullway.protocol.Rank;

/**
 * Two troubles that meet, each in its hard sequence: one schedule or more for every meeting that users have named, since
 * most rules that were broken broke there. The order of the tests is theirs.
 */
class FaultCombinationsTest {
    private static final Duration LONG = Duration.ofSeconds(200);

    static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /** Eight jobs of two tasks that run, urgent ones and others, of both teams; red is at its limit. */
    static SimulatedWorld working(int seed, Duration runTime) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        for (int i = 1; i <= 8; i++) {
            world.submit(i, i < 4 ? "red" : "blue", i % 2 == 0 ? Rank.HIGH : Rank.NORMAL, 2, 4, runTime);
        }
        world.run(Duration.ofSeconds(25));
        assertThat(world.rules.running())
                .as("tasks that run when the troubles begin")
                .isEqualTo(16);
        return world;
    }

    /** New work of both teams, a job every other second. */
    static void moreWork(SimulatedWorld world, int first, int jobs) {
        for (int i = 0; i < jobs; i++) {
            int number = first + i;
            world.after(
                    Duration.ofSeconds(2L * i),
                    () -> world.submit(
                            number,
                            number % 3 == 0 ? "red" : "blue",
                            number % 2 == 0 ? Rank.HIGH : Rank.IDLE,
                            3,
                            4,
                            Duration.ofSeconds(9)));
        }
    }

    static void cancelThrough(SimulatedWorld world, String node, List<User> users) {
        users.forEach(
                user -> user.cancelOnce(world.address(node), () -> world.after(Duration.ofSeconds(1), user::cancel)));
    }

    static void cutFromState(SimulatedWorld world, String node, Duration span) {
        world.network.cut(node, SimulatedWorld.stateAddress());
        world.after(span, () -> world.network.heal(node, SimulatedWorld.stateAddress()));
    }

    static void cutOff(SimulatedWorld world, FakeWorker worker, Duration span) {
        world.network.cut(worker.name(), "*");
        world.network.cut("*", worker.address());
        world.after(span, () -> {
            world.network.heal(worker.name(), "*");
            world.network.heal("*", worker.address());
        });
    }

    static void deafen(SimulatedWorld world, FakeWorker worker, Duration span) {
        world.network.unanswered(worker.name(), true);
        world.network.cut("*", worker.address());
        world.after(span, () -> {
            world.network.unanswered(worker.name(), false);
            world.network.heal("*", worker.address());
        });
    }

    static void outage(SimulatedWorld world, Duration from, Duration span) {
        world.after(from, () -> world.store.setDown(true));
        world.after(from.plus(span), () -> world.store.setDown(false));
    }

    /** The troubles end after this span; then all work gets done and every controller says the same of it. */
    static void endsWell(SimulatedWorld world, Duration troubles) {
        world.run(troubles);
        world.calm();
        world.run(Duration.ofSeconds(330));
        world.users().forEach(User::submitAgain);
        world.users().forEach(User::askEverywhere);
        world.run(Duration.ofSeconds(10));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
    }

    // A leader is cut from the state service and from the other controllers while workers and users still reach it, and
    // jobs are cancelled through the new one.

    @Property(tries = 4, seed = "101")
    void aLeaderLeftWithWorkersAndUsersAndCancellationsThroughTheNewOne(
            @ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, LONG);
        String leader = world.leader();
        cutFromState(world, leader, Duration.ofSeconds(70));
        world.cutMesh(leader, true);
        world.after(
                seconds(1 + seed % 12),
                () -> cancelThrough(
                        world, world.otherThan(leader), world.users().subList(0, 6)));
        moreWork(world, 9, 10);
        endsWell(world, Duration.ofSeconds(70));
    }

    // All controllers are away for longer than a lease.

    @Property(tries = 4, seed = "102")
    void allControllersAwayForLongerThanALease(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, LONG);
        world.users().subList(0, 2).forEach(User::cancel);
        world.run(seconds(0.2 + seed % 5));
        for (int i = 0; i < 3; i++) {
            world.crash(world.nodes().get(i), SimulatedWorld.LEASE.plusSeconds(2 + (seed + 5 * i) % 12));
        }
        world.after(Duration.ofSeconds(3), () -> world.users().subList(2, 5).forEach(User::cancel));
        moreWork(world, 9, 8);
        endsWell(world, Duration.ofSeconds(40));
    }

    // A transaction without an answer is carried out late, after newer ones of the same controller.

    @Property(tries = 6, seed = "103")
    void transactionsAreCarriedOutAfterNewerOnes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(45));
        world.store.lateWrites(0.3, world.random.split());
        moreWork(world, 9, 12);
        for (int i = 0; i < 5; i++) {
            int number = i;
            world.after(
                    Duration.ofSeconds(4L * i),
                    () -> world.users().get(2 * number).cancel());
        }
        world.after(
                Duration.ofSeconds(15),
                () -> world.crash(world.leader() == null ? "perch-0" : world.leader(), Duration.ofMillis(100)));
        endsWell(world, Duration.ofSeconds(60));
    }

    // A report is held back until a new leader has acted, and then arrives there.

    @Property(tries = 6, seed = "104")
    void reportsHeldBackUntilANewLeaderHasActed(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(60));
        String leader = world.leader();
        List<FakeWorker> held = world.cloud.workers().stream().limit(4).toList();
        held.forEach(worker -> world.network.holdBack(worker.name()));
        world.after(seconds(3.5), () -> world.crash(leader, Duration.ofSeconds(30)));
        world.after(Duration.ofSeconds(5), () -> world.users().subList(0, 4).forEach(User::cancel));
        moreWork(world, 9, 6);
        world.after(
                Duration.ofSeconds(13 + seed % 20),
                () -> held.forEach(worker -> world.network.release(
                        worker.name(), world.address(world.leader() == null ? "perch-0" : world.leader()))));
        endsWell(world, Duration.ofSeconds(50));
    }

    // Jobs bound to one zone, arrays too, lose machines.

    private static void boundJobsLoseMachines(int seed, List<Rank> ranks) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        List<Bounds> bounds = List.of(
                Bounds.in("a"),
                Bounds.ONE_ZONE,
                Bounds.SPREAD,
                new Bounds(List.of("large"), null, true, false, false),
                new Bounds(List.of("small"), "b", false, false, true));
        for (int i = 1; i <= 10; i++) {
            world.submit(
                    i, i % 3 == 0 ? "red" : "blue", ranks.get(i % 2), 5, 4, Duration.ofSeconds(25), bounds.get(i % 5));
        }
        world.run(Duration.ofSeconds(25));
        assertThat(world.rules.running()).isPositive();
        String zone = seed % 2 == 0 ? "a" : "b";
        world.cloud.workers().stream()
                .filter(w -> w.kind().zone().equals(zone))
                .limit(2)
                .forEach(FakeWorker::die);
        world.after(Duration.ofSeconds(4), () -> world.cloud.workers().stream()
                .filter(w -> w.kind().zone().equals(zone))
                .limit(2)
                .forEach(w -> cutOff(world, w, Duration.ofSeconds(30))));
        world.after(Duration.ofSeconds(6), () -> world.cloud.workers().stream()
                .filter(w -> w.kind().spot())
                .limit(2)
                .forEach(world.cloud::take));
        world.after(Duration.ofSeconds(9), () -> world.crash(world.leader(), Duration.ofSeconds(1)));
        endsWell(world, Duration.ofSeconds(45));
    }

    @Property(tries = 6, seed = "105")
    void urgentJobsBoundToOneZoneLoseMachines(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        boundJobsLoseMachines(seed, List.of(Rank.PROD, Rank.HIGH));
    }

    @Property(tries = 6, seed = "125")
    void bestEffortJobsBoundToOneZoneLoseMachines(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        boundJobsLoseMachines(seed, List.of(Rank.NORMAL, Rank.IDLE));
    }

    // A team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation falls
    // into
    // that spell.

    @Property(tries = 6, seed = "106")
    void aTeamAtItsLimitAChangeOfLeaderSilentMachinesAndACancellation(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(100));
        for (int i = 9; i < 15; i++) {
            world.submit(i, "red", i % 2 == 0 ? Rank.HIGH : Rank.NORMAL, 2, 4, Duration.ofSeconds(10));
        }
        world.run(Duration.ofSeconds(3));
        world.cloud.workers().stream().limit(4).forEach(worker -> {
            if (worker.name().hashCode() % 2 == seed % 2) {
                cutOff(world, worker, Duration.ofSeconds(30));
            } else {
                deafen(world, worker, Duration.ofSeconds(30));
            }
        });
        world.run(seconds(0.5 + seed % 4));
        world.crash(world.leader(), Duration.ofSeconds(10));
        world.after(seconds(1 + seed % 7), () -> world.users().subList(0, 3).forEach(User::cancel));
        endsWell(world, Duration.ofSeconds(45));
    }

    // The state service answers slowly, or refuses the leader alone and then everybody for longer than the cancel
    // limit,
    // while users cancel and ask.

    @Property(tries = 6, seed = "107")
    void aSlowStateServiceThatRefusesTheLeaderAndThenEverybody(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, LONG);
        String leader = world.leader();
        world.store.slow(700, world.random.split());
        world.after(Duration.ofSeconds(5), () -> world.store.refuseFrom(leader, true));
        outage(world, Duration.ofSeconds(9 + seed % 6), SimulatedWorld.CANCEL.plusSeconds(15));
        for (int i = 0; i < 8; i++) {
            User user = world.users().get(i);
            world.after(seconds(2.5 * i), user::cancel);
            world.after(seconds(2.5 * i + 0.3), user::askEverywhere);
        }
        endsWell(world, Duration.ofSeconds(75));
    }

    // An old report arrives after newer ones, also from an earlier session or attempt.

    @Property(tries = 6, seed = "108")
    void oldReportsOfEarlierSessionsAndAttemptsArriveAfterNewerOnes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(50));
        world.network.copyLate(0.9, "/agent/beat", SimulatedWorld.LEASE.multipliedBy(2), world.userAddresses());
        world.cloud.workers().stream().limit(3).forEach(worker -> {
            world.after(Duration.ofSeconds(4), () -> world.network.mute(worker.name(), true));
            world.after(
                    Duration.ofSeconds(4).plus(SimulatedWorld.LEASE).plusMillis(500),
                    () -> world.network.mute(worker.name(), false));
        });
        // Urgent work that has others stopped, so that attempts follow each other on one machine.
        moreWork(world, 9, 12);
        world.after(Duration.ofSeconds(30), () -> world.crash(world.leader(), Duration.ofMillis(200)));
        endsWell(world, Duration.ofSeconds(70));
    }

    // Controllers hand over and back, all end, and one returns, also within a second.

    @Property(tries = 6, seed = "109")
    void controllersHandOverAndBackAllEndAndOneReturns(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(60));
        moreWork(world, 9, 10);
        for (int i = 0; i < 3; i++) {
            world.crash(world.leader() == null ? "perch-" + i : world.leader(), Duration.ofMillis(100 + seed % 900));
            world.run(seconds(0.5 + seed % 3));
        }
        String back = world.nodes().get(seed % 3);
        world.nodes()
                .forEach(node ->
                        world.crash(node, node.equals(back) ? Duration.ofMillis(seed % 1000) : Duration.ofSeconds(25)));
        world.after(Duration.ofSeconds(2), () -> world.users().subList(0, 3).forEach(User::cancel));
        endsWell(world, Duration.ofSeconds(40));
    }

    // Jobs of two or three tasks end far apart across a change of leader.

    @Property(tries = 6, seed = "110")
    void tasksOfOneJobEndFarApartAcrossAChangeOfLeader(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        // The limits of the teams let their tasks run one after another.
        world.submit(1, "red", Rank.HIGH, 3, 16, Duration.ofSeconds(15));
        world.submit(2, "blue", Rank.NORMAL, 3, 32, Duration.ofSeconds(11));
        world.submit(3, "blue", Rank.HIGH, 2, 32, Duration.ofSeconds(13));
        for (int i = 0; i < 4; i++) {
            world.run(seconds(18 + seed % 7));
            if (world.leader() != null) {
                world.crash(world.leader(), Duration.ofSeconds(1 + seed % 12));
            }
        }
        endsWell(world, Duration.ofSeconds(10));
    }

    // A command or its answer is held up for seconds, and the machine then goes on.

    @Property(tries = 6, seed = "111")
    void aMachineHangsWithItsCommandsAndGoesOn(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(60));
        for (int round = 0; round < 3; round++) {
            moreWork(world, 9 + 3 * round, 3);
            world.run(seconds(0.1 + seed % 10 / 20.0));
            int first = 2 * round;
            List<FakeWorker> workers = world.cloud.workers();
            workers.stream()
                    .skip((seed + round) % 3)
                    .limit(5)
                    .forEach(worker ->
                            worker.hang(seconds(3 + (seed + worker.name().hashCode()) % 9)));
            world.after(
                    Duration.ofMillis(200),
                    () -> world.users().subList(first, first + 2).forEach(User::cancel));
            world.run(Duration.ofSeconds(14));
        }
        endsWell(world, Duration.ofSeconds(10));
    }

    @Property(tries = 6, seed = "112")
    void aMachineHangsBeyondItsLeaseWithCancelledTasks(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, LONG);
        world.users().subList(0, 6).forEach(User::cancel);
        world.run(Duration.ofMillis(seed % 20));
        world.cloud.workers().forEach(worker -> worker.hang(SimulatedWorld.CANCEL.plusSeconds(30)));
        moreWork(world, 9, 8);
        endsWell(world, Duration.ofSeconds(80));
    }

    // Workers can't open connections to any controller, while direct commands still reach them.

    @Property(tries = 6, seed = "113")
    void machinesThatReachNobodyAndCanBeCommanded(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(70));
        world.cloud.workers().stream().limit(4).forEach(worker -> {
            world.network.mute(worker.name(), true);
            world.after(Duration.ofSeconds(15 + seed % 40), () -> world.network.mute(worker.name(), false));
        });
        moreWork(world, 9, 8);
        world.after(Duration.ofSeconds(2), () -> world.users().subList(0, 4).forEach(User::cancel));
        world.after(Duration.ofSeconds(8), () -> world.crash(world.leader(), Duration.ofSeconds(2)));
        endsWell(world, Duration.ofSeconds(60));
    }

    // There is more work than room, urgent and not, over slow links.

    @Property(tries = 3, seed = "114")
    void moreWorkThanRoomOverSlowLinks(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0.08, 1);
        world.store.slow(400, world.random.split());
        for (int i = 1; i <= 40; i++) {
            int number = i;
            world.after(
                    Duration.ofSeconds(2L * i),
                    () -> world.submit(
                            number,
                            number % 3 == 0 ? "red" : "blue",
                            Rank.values()[number % 4],
                            1 + number % 6,
                            number % 10 == 0 ? 16 : 4,
                            Duration.ofSeconds(8)));
        }
        endsWell(world, Duration.ofSeconds(200));
    }

    // Jobs are cancelled at the very moment at which the state service refuses the leader alone, and a second later it
    // is
    // out for longer than the cancel limit.

    /** Workers report on to the leader, which alone has not heard of the cancellations. */
    private static void gap(int seed, BiConsumer<SimulatedWorld, String> meanwhile) {
        SimulatedWorld world = working(seed, LONG);
        String leader = world.leader();
        String confirming = world.otherThan(leader);
        world.store.refuseFrom(leader, true);
        meanwhile.accept(world, leader);
        world.after(
                Duration.ofMillis(100),
                () -> cancelThrough(world, confirming, world.users().subList(0, 7)));
        world.run(seconds(1.1 + seed % 10 / 10.0));
        assertThat(world.unfinished().size())
                .as("some are cancelled")
                .isLessThan(world.users().size());
        world.store.setDown(true);
        endsWell(world, SimulatedWorld.CANCEL.plusSeconds(15));
    }

    @Property(tries = 6, seed = "115")
    void aLeaderRefusedAloneCancellationsAndAnOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        gap(seed, (world, leader) -> {});
    }

    @Property(tries = 6, seed = "116")
    void aLeaderRefusedAloneAndCutFromTheOthersCancellationsAndAnOutage(
            @ForAll @IntRange(min = 1, max = 1000) int seed) {
        gap(seed, (world, leader) -> world.cutMesh(leader, true));
    }

    @Property(tries = 6, seed = "117")
    void aLeaderRefusedAloneAndTheConfirmingControllerEnds(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        gap(
                seed,
                (world, leader) -> world.after(
                        Duration.ofMillis(110 + seed % 400),
                        () -> world.crash(world.otherThan(leader), Duration.ofSeconds(seed % 60))));
    }

    /** Only the cloud can end what is on them, and whoever knows of the cancellations returns them in time. */
    @Property(tries = 6, seed = "126")
    void aLeaderRefusedAloneCancellationsAnOutageAndMachinesThatHangBeyondTheLimit(
            @ForAll @IntRange(min = 1, max = 1000) int seed) {
        gap(seed, (world, leader) -> world.cloud.workers().stream()
                .limit(4)
                .forEach(worker -> world.after(
                        Duration.ofMillis(150 + seed % 300),
                        () -> worker.hang(SimulatedWorld.CANCEL.plusSeconds(20)))));
    }

    /** They go on within the limit: what is on them ends with their leases, or is stopped. */
    @Property(tries = 6, seed = "118")
    void aLeaderRefusedAloneCancellationsAnOutageAndMachinesThatHang(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        gap(seed, (world, leader) -> world.cloud.workers().stream()
                .limit(4)
                .forEach(worker -> world.after(
                        Duration.ofMillis(50 + seed % 300), () -> worker.hang(Duration.ofSeconds(5 + seed % 30)))));
    }

    @Property(tries = 6, seed = "119")
    void aLeaderRefusedAloneCancellationsAnOutageAndDeafMachines(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        gap(seed, (world, leader) -> world.cloud.workers().stream()
                .limit(4)
                .forEach(worker -> deafen(world, worker, Duration.ofSeconds(10 + seed % 50))));
    }

    @Property(tries = 6, seed = "120")
    void aLeaderRefusedAloneCancellationsAnOutageAndStartsOnTheirWay(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, LONG);
        String leader = world.leader();
        world.cloud.workers().forEach(worker -> {
            world.network.cut(leader, worker.address());
            world.after(Duration.ofSeconds(5 + seed % 45), () -> world.network.heal(leader, worker.address()));
        });
        for (int i = 9; i < 12; i++) {
            world.submit(i, "blue", Rank.HIGH, 1, 4, LONG);
        }
        world.run(seconds(0.8));
        world.store.refuseFrom(leader, true);
        cancelThrough(world, world.otherThan(leader), world.users().subList(3, 11));
        world.run(seconds(1 + seed % 10 / 10.0));
        assertThat(world.unfinished().size())
                .as("some are cancelled")
                .isLessThan(world.users().size());
        world.store.setDown(true);
        endsWell(world, SimulatedWorld.CANCEL.plusSeconds(15));
    }

    // A leader ends while machines with long tasks can't be reached, or don't hear the new leader's answer.

    @Property(tries = 6, seed = "121")
    void aLeaderEndsWhileMachinesWithLongTasksAreOutOfReachOrDeaf(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, LONG);
        String leader = world.leader();
        Duration span = Duration.ofSeconds(8 + seed % 45);
        List<FakeWorker> workers = world.cloud.workers();
        workers.stream().limit(2).forEach(worker -> cutOff(world, worker, span));
        workers.stream().skip(2).limit(2).forEach(worker -> deafen(world, worker, span));
        world.run(seconds(seed % 4));
        world.crash(leader, Duration.ofSeconds(1 + seed % 50));
        moreWork(world, 9, 6);
        world.after(
                Duration.ofSeconds(seed % 25), () -> world.users().subList(0, 3).forEach(User::cancel));
        endsWell(world, Duration.ofSeconds(60));
    }

    // A cancellation, a question or a repeated submission meets the end of a job's last task, with no other trouble.

    @Property(tries = 6, seed = "122")
    void requestsMeetTheEndOfAJobsLastTask(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        world.whenDone(user -> {
            world.after(Duration.ofMillis(world.random.nextInt(700)), user::askEverywhere);
            world.after(Duration.ofMillis(world.random.nextInt(700)), user::submitAgain);
            if (user.request.id().hashCode() % 2 == 0) {
                world.after(Duration.ofMillis(world.random.nextInt(700)), user::cancel);
            } else {
                world.after(Duration.ZERO, user::cancel);
            }
            for (int i = 0; i < 3; i++) {
                world.after(
                        Duration.ofMillis(world.random.nextInt(12_000)),
                        () -> user.cancelOnce(world.address(world.nodes().get(world.random.nextInt(3))), () -> {}));
                world.after(Duration.ofMillis(world.random.nextInt(12_000)), user::askEverywhere);
                world.after(Duration.ofMillis(world.random.nextInt(12_000)), user::submitAgain);
            }
        });
        for (int i = 1; i <= 30; i++) {
            world.submit(i, i % 3 == 0 ? "red" : "blue", Rank.values()[i % 4], 1 + i % 3, 4, seconds(2 + i % 7 * 1.3));
        }
        for (int i = 0; i < 6; i++) {
            int number = 100 + 2 * i;
            world.after(Duration.ofSeconds(i), () -> world.submitOdd(number));
        }
        endsWell(world, Duration.ofSeconds(60));
    }

    // A zone with workers and a controller is cut off for longer than a lease.

    @Property(tries = 6, seed = "123")
    void aZoneIsCutOffForLongerThanALeaseAndJobsAreCancelled(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, LONG);
        String zone = seed % 2 == 0 ? "a" : "b";
        Duration span = SimulatedWorld.LEASE.plusSeconds(2 + seed % 40);
        world.cutZone(zone, true);
        world.after(span, () -> world.cutZone(zone, false));
        moreWork(world, 9, 6);
        world.after(seconds(seed % 20), () -> world.users().subList(0, 4).forEach(User::cancel));
        world.after(span, () -> world.crash(world.nodes().get(seed % 3), Duration.ofSeconds(1)));
        endsWell(world, span.plusSeconds(5));
    }

    // Leaders change ten times in two minutes, also inside an outage.

    @Property(tries = 6, seed = "124")
    void leadersChangeTenTimesInTwoMinutesAlsoInAnOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(70));
        moreWork(world, 9, 20);
        outage(world, Duration.ofSeconds(30), Duration.ofSeconds(15 + seed % 12));
        for (int i = 0; i < 10; i++) {
            int number = i;
            world.after(Duration.ofSeconds(12L * i), () -> {
                String leader = world.leader() == null ? world.nodes().get(number % 3) : world.leader();
                world.crash(leader, Duration.ofMillis(100 + (seed * 37L + number * 1700L) % 9000));
            });
            world.after(
                    seconds(12.0 * i + 1 + seed % 5),
                    () -> world.users().get(number).cancel());
        }
        endsWell(world, Duration.ofSeconds(125));
    }
}
