package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.gullway.protocol.Rank;
import org.junit.jupiter.api.Test;

class ReservedBookingTest {
    private final ClusterView view = Samples.view();
    private final ReservedBooking booking =
            new ReservedBooking(view, Samples.placing(), new JobBackoff(), new DeadlinePolicy(java.util.List.of()));

    private Transaction draft() {
        return new Transaction(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
    }

    private void accept(String id, String team, Rank rank, int tasks, double cpus, long mark) {
        view.put(
                Keys.job(id),
                JobRecord.accepted(Samples.request(id, team, rank, tasks, cpus), null, Samples.DAY),
                mark);
    }

    @Test
    void takesTheFullestMachineThatFits() {
        Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), 10);
        Samples.put(view, Samples.machine("vm-2", "small", Samples.PEER), 11);
        accept("run-000001", "red", Rank.HIGH, 1, 4, 12);
        Transaction draft = draft();
        booking.propose(draft, Instant.EPOCH);
        assertThat(draft.job("run-000001").live())
                .extracting(Placement::machine)
                .containsExactly("vm-2");
        assertThat(draft.guards()).contains(Keys.job("run-000001"), Keys.member("perch-0"));
    }

    @Test
    void prefersAMachineThatHasTheImage() {
        Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), 10);
        Samples.put(view, Samples.machine("vm-2", "small", Samples.PEER), 11);
        JobRecord first = JobRecord.accepted(Samples.request("run-000009", "red", Rank.HIGH, 2, 4), null, Samples.DAY);
        view.put(Keys.job("run-000009"), Samples.placed(first, Samples.DAY, "vm-1"), 12);
        accept("run-000001", "red", Rank.HIGH, 1, 4, 13);
        Transaction draft = draft();
        booking.propose(draft, Instant.EPOCH);
        assertThat(draft.job("run-000001").live())
                .extracting(Placement::machine)
                .containsExactly("vm-1");
    }

    @Test
    void staysWithinTheTeamsLimit() {
        Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), 10);
        Samples.put(view, Samples.machine("vm-2", "large", Samples.SELF), 11);
        accept("run-000001", "red", Rank.HIGH, 20, 4, 12);
        Transaction draft = draft();
        booking.propose(draft, Instant.EPOCH);
        assertThat(draft.job("run-000001").live()).hasSize(8);
        assertThat(draft.changes()).doesNotContainKey(Keys.CLOSED);
    }

    @Test
    void closesMachinesWhileReservedWorkWaits() {
        Samples.put(view, Samples.machine("vm-1", "small", Samples.SELF), 10);
        accept("run-000001", "red", Rank.HIGH, 6, 4, 12);
        Transaction draft = draft();
        booking.propose(draft, Instant.EPOCH);
        assertThat(draft.job("run-000001").live()).hasSize(4);
        assertThat(draft.changes()).containsEntry(Keys.CLOSED, new ClosedMachines(java.util.Set.of("vm-1")));
    }

    /** Small tasks would fill every gap for ever before a job of large ones. */
    @Test
    void keepsAMachineForALargeBestEffortTaskThatHasNotBegun() {
        Samples.put(view, Samples.machine("vm-1", "small", Samples.SELF), 10);
        Samples.put(view, Samples.machine("vm-2", "large", Samples.PEER), 11);
        view.put(
                Keys.job("run-000001"),
                JobRecord.accepted(
                        Samples.request("run-000001", "red", Rank.NORMAL, 2, 32),
                        "perch-1",
                        Samples.DAY.minusSeconds(160)),
                12);
        Transaction draft = draft();
        booking.propose(draft, Instant.EPOCH);
        assertThat(draft.changes()).containsEntry(Keys.CLOSED, new ClosedMachines(java.util.Set.of("vm-2")));
    }

    /** Once, a job cancelled and booked in the same round was recorded as ended and went on running (hunt-ffe4-7). */
    @Test
    void leavesAJobAloneThatTheSameRoundCancelled() {
        Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), 10);
        accept("run-000001", "red", Rank.HIGH, 2, 4, 12);
        Transaction draft = draft();
        draft.putJob(view.job("run-000001").cancel(Samples.DAY));
        booking.propose(draft, Instant.EPOCH);
        assertThat(draft.job("run-000001")).isNull();
        assertThat(draft.changes().get(Keys.ended("run-000001"))).isInstanceOf(Transaction.Ended.class);
    }

    @Test
    void stopsTheBestEffortTaskThatLosesLeast() {
        Samples.put(view, Samples.machine("vm-1", "small", Samples.SELF), 10);
        JobRecord old =
                JobRecord.accepted(Samples.request("run-000008", "blue", Rank.NORMAL, 2, 4), "perch-0", Samples.DAY);
        old = Samples.placed(
                Samples.placed(old, Samples.DAY.minusSeconds(60), "vm-1"), Samples.DAY.minusSeconds(5), "vm-1");
        JobRecord wide = Samples.placed(
                JobRecord.accepted(Samples.request("run-000009", "blue", Rank.NORMAL, 1, 8), "perch-0", Samples.DAY),
                Samples.DAY.minusSeconds(30),
                "vm-1");
        view.put(Keys.job("run-000008"), old, 12);
        view.put(Keys.job("run-000009"), wide, 13);
        accept("run-000001", "red", Rank.HIGH, 1, 4, 14);
        Transaction draft = draft();
        booking.propose(draft, Instant.EPOCH);
        assertThat(draft.job("run-000008").live())
                .extracting(Placement::stopping)
                .containsExactly(false, true);
        assertThat(draft.job("run-000009").live())
                .extracting(Placement::stopping)
                .containsExactly(false);
        assertThat(draft.changes()).containsEntry(Keys.CLOSED, new ClosedMachines(java.util.Set.of("vm-1")));

        Samples.commit(view, draft, 20);
        Transaction next = draft();
        booking.propose(next, Instant.EPOCH.plusSeconds(1));
        assertThat(next.isEmpty())
                .as("one waiting task has only one stopped for it")
                .isTrue();
    }
}
