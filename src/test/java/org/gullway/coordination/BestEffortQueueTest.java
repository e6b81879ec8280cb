package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Offer;
import org.gullway.protocol.Rank;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

class BestEffortQueueTest {
    private final ClusterView view = Samples.view();
    private final DeadlinePolicy urgency =
            new DeadlinePolicy(List.of(new Settings.Objective("finished", "render", Duration.ofSeconds(80))));
    private final IdleWork idle = new IdleWork(view, Samples.placing(), new JobBackoff(), urgency, 0.5);
    private final BestEffortQueue queue = new BestEffortQueue(
            view,
            Samples.placing(),
            new JobBackoff(),
            urgency,
            idle,
            "perch-0",
            Duration.ofSeconds(3),
            new SplittableRandom(1));
    private final MachineRecord machine = Samples.machine("vm-1", "small", Samples.SELF);

    BestEffortQueueTest() {
        Samples.put(view, machine, 10);
    }

    private void accept(String id, String team, String owner, int tasks, long ageSeconds, long mark) {
        view.put(
                Keys.job(id),
                JobRecord.accepted(
                        Samples.request(id, team, Rank.NORMAL, tasks, 4), owner, Samples.DAY.minusSeconds(ageSeconds)),
                mark);
    }

    private Transaction draft() {
        return new Transaction(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
    }

    @Test
    void teamsTakeEqualTurns() {
        accept("run-000001", "red", "perch-0", 9, 9, 11);
        accept("run-000002", "blue", "perch-0", 9, 1, 12);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000001").live()).hasSize(2);
        assertThat(draft.job("run-000002").live()).hasSize(2);
    }

    @Test
    void aTeamWithinItsGuaranteeGoesFirst() {
        accept("run-000001", "red", "perch-0", 9, 9, 11);
        accept("run-000002", "blue", "perch-0", 4, 1, 12);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000001").live()).isEmpty();
        assertThat(draft.job("run-000002").live()).hasSize(4);
    }

    @Test
    void whatCanBeInTimeGoesBeforeWhatCanNot() {
        JobRecord begun = Samples.placed(
                JobRecord.accepted(
                        Samples.request("run-000001", "red", Rank.NORMAL, 5, 4),
                        "perch-0",
                        Samples.DAY.minusSeconds(90)),
                Samples.DAY,
                "vm-9");
        view.put(Keys.job("run-000001"), begun.ended(Map.of(begun.live().get(0), JobRecord.End.DONE)), 11);
        accept("run-000002", "red", "perch-0", 4, 5, 12);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000002").live()).hasSize(4);
        assertThat(draft.job("run-000001").live()).isEmpty();
    }

    /** Under steady pressure a late job would otherwise never begin. */
    @Test
    void aJobThatHasWaitedLongBeginsWithOneTask() {
        accept("run-000001", "red", "perch-0", 4, 110, 11);
        accept("run-000002", "red", "perch-0", 4, 5, 12);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000001").live()).hasSize(1);
        assertThat(draft.job("run-000002").live()).hasSize(3);
    }

    /** The machine that the leader keeps for a large task is used by its owner, whoever commands the machine. */
    @Test
    void aJobThatHasNotBegunUsesTheMachineKeptForIt() {
        Samples.put(view, Samples.machine("vm-2", "large", Samples.PEER), 11);
        view.put(Keys.CLOSED, new ClosedMachines(java.util.Set.of("vm-2")), 12);
        view.put(
                Keys.job("run-000001"),
                JobRecord.accepted(
                        Samples.request("run-000001", "red", Rank.NORMAL, 2, 32),
                        "perch-0",
                        Samples.DAY.minusSeconds(160)),
                13);
        accept("run-000002", "blue", "perch-0", 8, 5, 14);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000001").live())
                .extracting(Placement::machine)
                .containsExactly("vm-2");
        assertThat(draft.job("run-000002").live())
                .extracting(Placement::machine)
                .containsOnly("vm-1");
    }

    @Test
    void usesTheRoomOfEndedAttemptsAndNoMore() {
        Samples.put(view, Samples.machine("vm-2", "large", Samples.SELF), 11);
        JobRecord small = Samples.placed(
                JobRecord.accepted(Samples.request("run-000009", "red", Rank.NORMAL, 8, 4), "perch-0", Samples.DAY),
                Samples.DAY,
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2");
        view.put(Keys.job("run-000009"), small, 12);
        view.put(
                Keys.job("run-000001"),
                JobRecord.accepted(Samples.request("run-000001", "red", Rank.NORMAL, 9, 2), "perch-0", Samples.DAY),
                13);
        EndedAttempts ended = new EndedAttempts(view);
        ended.add(AttemptId.of(small, small.live().get(0)), JobRecord.End.DONE, Instant.EPOCH);
        Transaction draft = draft();
        ended.credit(draft);
        queue.propose(draft, () -> List.of(machine, view.machine("vm-2")), Instant.EPOCH);
        assertThat(draft.job("run-000001").live())
                .as("4 of the limit of 32 are free")
                .hasSize(2);
        assertThat(draft.cpusUsedOf(Keys.share("perch-0"), "red")).isEqualTo(32);
    }

    /** Machines of two zones have room; tasks are pulled one by one, and those planned before count for the zones. */
    @Test
    void tasksOfOneCommitKeepToTheZonesThatTheJobAllows() {
        MachineRecord other = Samples.machine("vm-2", "small", Samples.SELF);
        MachineRecord far = new MachineRecord(
                "vm-2",
                other.address(),
                "small",
                "b",
                true,
                Samples.SELF,
                1,
                1,
                MachineRecord.Disposition.STAYS,
                other.rented());
        Samples.put(view, far, 11);
        JobRequest r = Samples.request("run-000001", "red", Rank.NORMAL, 8, 4);
        view.put(Keys.job(r.id()), JobRecord.accepted(zones(r, true, false), "perch-0", Samples.DAY), 12);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine, far), Instant.EPOCH);
        assertThat(draft.job(r.id()).live()).as("in one zone").hasSize(4);
        assertThat(draft.job(r.id()).live().stream().map(Placement::machine).distinct())
                .hasSize(1);

        JobRequest s = Samples.request("run-000002", "red", Rank.NORMAL, 5, 4);
        view.remove(Keys.job(r.id()), 13);
        view.put(Keys.job(s.id()), JobRecord.accepted(zones(s, false, true), "perch-0", Samples.DAY), 14);
        draft = draft();
        queue.propose(draft, () -> List.of(machine, far), Instant.EPOCH);
        assertThat(draft.job(s.id()).live()).as("spread over two").hasSize(5);
        assertThat(draft.job(s.id()).live().stream()
                        .filter(p -> p.machine().equals("vm-2"))
                        .count())
                .isBetween(2L, 3L);
    }

    private static JobRequest zones(JobRequest r, boolean oneZone, boolean spread) {
        return new JobRequest(
                r.id(),
                r.jobClass(),
                r.team(),
                r.shape(),
                r.rank(),
                r.tasks(),
                r.cpus(),
                r.cards(),
                r.memoryGb(),
                r.image(),
                r.imageGb(),
                r.types(),
                r.zone(),
                oneZone,
                spread,
                r.spot(),
                r.estimate(),
                r.checkpoint(),
                r.save(),
                r.deadline());
    }

    @Test
    void nothingStartsOnAClosedMachine() {
        view.put(Keys.CLOSED, new ClosedMachines(java.util.Set.of("vm-1")), 20);
        accept("run-000001", "red", "perch-0", 4, 5, 11);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.isEmpty()).isTrue();
    }

    @Test
    void roomThatFitsNothingHereIsOfferedToAPeerAndUsedThere() {
        accept("run-000001", "red", "perch-1", 2, 5, 11);
        Transaction draft = draft();
        List<BestEffortQueue.Outgoing> offers = queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.isEmpty()).isTrue();
        assertThat(offers)
                .containsExactly(
                        new BestEffortQueue.Outgoing("perch-1", List.of(new Offer("vm-1", 1, List.of("perch-0")))));

        BestEffortQueue peer = new BestEffortQueue(
                view,
                Samples.placing(),
                new JobBackoff(),
                urgency,
                idle,
                "perch-1",
                Duration.ofSeconds(3),
                new SplittableRandom(2));
        peer.offered(offers.get(0).offers(), Instant.EPOCH);
        Transaction there = new Transaction(view, Samples.PEER, Samples.LIMITS, Samples.DAY);
        peer.propose(there, List::of, Instant.EPOCH);
        assertThat(there.job("run-000001").live()).hasSize(2);
        assertThat(there.guards()).contains(Keys.member("perch-1"), Keys.job("run-000001"));
    }

    private void acceptIdle(String id, int tasks, long mark) {
        view.put(
                Keys.job(id),
                JobRecord.accepted(
                        Samples.request(id, "blue", Rank.IDLE, tasks, 4), "perch-0", Samples.DAY.minusSeconds(50)),
                mark);
    }

    @Test
    void idleWorkTakesOnlyWhatIsLeftOver() {
        acceptIdle("run-000001", 9, 11);
        Transaction draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000001").live()).as("nobody else waits").hasSize(4);

        JobRecord urgent = JobRecord.accepted(Samples.request("run-000009", "red", Rank.HIGH, 2, 8), null, Samples.DAY);
        view.put(Keys.job("run-000009"), Samples.placed(urgent, Samples.DAY, "vm-9", "vm-9"), 12);
        draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000001").live())
                .as("8 of the 16 are kept for urgent work")
                .hasSize(2);

        // Somebody's best-effort job waits and may run: the room is not for idle work, whoever finds it.
        accept("run-000002", "red", "perch-1", 1, 5, 13);
        draft = draft();
        queue.propose(draft, () -> List.of(machine), Instant.EPOCH);
        assertThat(draft.job("run-000001").live()).isEmpty();
    }

    /** The leader stops as many idle tasks as the waiting job could use, and no others. */
    @Test
    void idleWorkMakesWayForBestEffortWorkOfAHigherRank() {
        acceptIdle("run-000001", 9, 11);
        JobRecord held = view.job("run-000001");
        view.put(Keys.job("run-000001"), Samples.placed(held, Samples.DAY, "vm-1", "vm-1", "vm-1"), 12);
        JobRecord normal =
                JobRecord.accepted(Samples.request("run-000002", "red", Rank.NORMAL, 1, 4), "perch-1", Samples.DAY);
        view.put(Keys.job("run-000002"), Samples.placed(normal, Samples.DAY, "vm-1"), 13);
        Transaction draft = draft();
        idle.propose(draft, Instant.EPOCH);
        assertThat(draft.isEmpty()).as("nobody waits").isTrue();
        accept("run-000003", "red", "perch-1", 2, 5, 14);
        draft = draft();
        idle.propose(draft, Instant.EPOCH.plusSeconds(2));
        assertThat(draft.job("run-000001").live().stream()
                        .filter(Placement::stopping)
                        .count())
                .isEqualTo(2);
        assertThat(draft.job("run-000002").live()).noneMatch(Placement::stopping);
    }
}
