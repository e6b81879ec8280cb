package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultCombinationsTest.endsWell;
import static org.gullway.FaultCombinationsTest.moreWork;
import static org.gullway.FaultCombinationsTest.seconds;
import static org.gullway.FaultCombinationsTest.working;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.SimulatedWorld.Bounds;
import org.gullway.coordination.Keys;
import org.gullway.protocol.Rank;

/** Transactions of which the answer is lost or that are carried out late, each with a second trouble. */
class CommitFaultsTest {
    private static final Bounds ANYWHERE = new Bounds(null, null, false, false, true);

    /**
     * Answers are lost while others act on what was written: a job is accepted, runs and is over before its acceptance is
     * answered, and users ask and submit again at once, everywhere. Guards that an acceptance relies on there being no
     * final state of the job: it would be accepted a second time.
     */
    @Property(tries = 4, seed = "201")
    void answersOfTransactionsAreLostWhileOthersReadWhatTheyWrote(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = working(seed, Duration.ofSeconds(30));
        world.store.loseAnswers(0.3, world.random.split());
        world.whenNews(user -> world.lookClosely(user, world.random));
        moreWork(world, 9, 8);
        for (int i = 0; i < 20; i++) {
            int number = 30 + i;
            world.after(
                    Duration.ofMillis(900L * i),
                    () -> world.submit(number, "blue", number % 2 == 0 ? Rank.HIGH : Rank.NORMAL, 1, 1, seconds(0.4)));
        }
        for (int i = 0; i < 4; i++) {
            User user = world.users().get(i);
            world.after(Duration.ofSeconds(3L * i), user::cancel);
        }
        endsWell(world, Duration.ofSeconds(40));
    }

    /**
     * The leader books a task that uses up its team's limit; that transaction gets no answer. More urgent work of the
     * team comes, is booked instead, and then the first transaction arrives. Guards the mark of the member key in every
     * commit: the second booking changes no key that the first one relies on.
     */
    @Property(tries = 6, seed = "202")
    void aBookingArrivesAfterAnotherHasTakenItsRoom(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        // Afterwards there are idle machines, and the leader holds all of the team's limit.
        world.submit(1, "red", Rank.HIGH, 2, 12, Duration.ofSeconds(5), ANYWHERE);
        world.submit(2, "blue", Rank.HIGH, 3, 20, Duration.ofSeconds(5), ANYWHERE);
        world.run(Duration.ofSeconds(25));
        String first = Keys.job("run-000003");
        world.store.holdUpNext(
                change -> change.path("put").asText().equals(first) && world.store.value(first) != null,
                seconds(5 + seed % 7));
        world.submit(3, "red", Rank.HIGH, 1, 20, Duration.ofSeconds(40), ANYWHERE);
        world.after(seconds(1), () -> world.submit(4, "red", Rank.PROD, 1, 20, Duration.ofSeconds(40), ANYWHERE));
        endsWell(world, Duration.ofSeconds(60));
    }

    /**
     * Machines are up and report within two seconds, before the transaction that puts them on record is carried out, and
     * the leader that rented them ends. Guards the taking on record of machines that only the cloud's list shows: they
     * would neither be used nor returned.
     */
    @Property(tries = 6, seed = "203")
    void newMachinesReportBeforeTheyAreOnRecordAndTheLeaderEnds(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        world.cloud.bootWithin(seconds(0.2 + seed % 18 / 10.0));
        world.run(Duration.ofSeconds(5));
        world.store.lateWrites(0.4, world.random.split());
        moreWork(world, 1, 20);
        for (int i = 0; i < 4; i++) {
            world.after(seconds(2 + 9 * i + seed % 8 / 2.0), () -> {
                if (world.leader() != null) {
                    world.crash(world.leader(), seconds(0.2 + seed % 30 / 3.0));
                }
            });
        }
        endsWell(world, Duration.ofSeconds(50));
        assertThat(world.cloud.rented()).as("machines never returned").isZero();
    }
}
