package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultCombinationsTest.endsWell;
import static org.gullway.FaultCombinationsTest.seconds;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.Rank;

/** Many requests of users, or requests at the worst moments, with no other trouble. */
class UserRequestFaultsTest {
    private static final Duration DONE_IS_EXPECTED_AFTER = Duration.ofSeconds(3);

    /**
     * Four one-task jobs a second for two minutes, a quarter of them cancelled, half of these at once. Guards that the
     * commander of a machine tells the keeper of a job at once of its end: a user expects "done" 3 s after it.
     */
    @Property(tries = 2, seed = "221")
    void oneTaskJobsComeFourASecondAndAQuarterIsCancelled(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 4);
        int jobs = 480;
        int[] late = new int[1];
        world.whenDone(user -> world.after(DONE_IS_EXPECTED_AFTER.minusMillis(200), () -> {
            user.askEverywhere();
            world.after(Duration.ofMillis(200), () -> late[0] += user.over() ? 0 : 1);
        }));
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            world.after(Duration.ofMillis(250L * i), () -> {
                User user = world.submit(
                        number,
                        number % 3 == 0 ? "red" : "blue",
                        number % 2 == 0 ? Rank.HIGH : Rank.NORMAL,
                        1,
                        1,
                        seconds(1 + number % 7));
                if (number % 4 == 1) {
                    world.after(seconds(number % 8 == 1 ? 0 : 0.2 * (number % 19)), user::cancel);
                }
            });
        }
        world.run(seconds(jobs / 4 + 10));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
        assertThat(late[0]).as("jobs that users saw done too late").isLessThan(jobs / 100);
        assertThat(world.users().stream().filter(user -> user.waited() != null).count())
                .as("jobs that began")
                .isGreaterThan(jobs * 3 / 4);
    }

    /**
     * Users ask at all nodes within milliseconds after a job was accepted, done or cancelled, and repeat the submission;
     * some cancel at once. Guards that a state that may change is told only after the store has confirmed it, and that a
     * job that is not known here is looked up there.
     */
    @Property(tries = 4, seed = "222")
    void questionsWithinMillisecondsAfterEachNews(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        world.whenNews(user -> {
            world.lookClosely(user, world.random);
            if (!user.over() && user.request.tasks() == 2) {
                user.cancel();
            }
        });
        for (int i = 1; i <= 45; i++) {
            int number = i;
            world.after(
                    Duration.ofMillis(400L * i),
                    () -> world.submit(
                            number,
                            number % 3 == 0 ? "red" : "blue",
                            Rank.values()[number % 4],
                            1 + number % 3,
                            2,
                            seconds(1 + number % 5)));
        }
        endsWell(world, Duration.ofSeconds(40));
    }
}
