package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Rank;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

class PlacementConstraintsTest {
    private final PlacementConstraints placing = new PlacementConstraints(
            Map.of("red", new Settings.Team("red", 16, 32, 0, 0), "guest", new Settings.Team("guest", 0, 0, 0, 0)));

    PlacementConstraintsTest() {
        placing.learn(List.of(Samples.type("small", 16), Samples.type("large", 32)));
    }

    /** On an on-call day all 814 jobs of a guest team were refused with 422 (incident inc-7065). */
    @Test
    void aTeamWithoutALimitMayRunWhatFitsAMachine() {
        assertThat(placing.possible(Samples.request("run-000001", "guest", Rank.IDLE, 25_000, 32)))
                .isTrue();
        assertThat(placing.possible(Samples.request("run-000001", "guest", Rank.IDLE, 1, 33)))
                .isFalse();
        assertThat(placing.possible(Samples.request("run-000001", "nobody", Rank.IDLE, 1, 1)))
                .isFalse();
        assertThat(placing.possible(Samples.request("run-000001", "red", Rank.IDLE, 1, 32)))
                .isTrue();
    }

    @Test
    void itsSharesAreDealtOutAsOthersAre() {
        ClusterView view = new ClusterView();
        view.put(Keys.member(Samples.SELF.node()), Samples.SELF, 1);
        view.put(Keys.member(Samples.PEER.node()), Samples.PEER, 2);
        JobRequest request = Samples.request("run-000001", "guest", Rank.IDLE, 25_000, 32);
        view.put(Keys.job(request.id()), JobRecord.accepted(request, Samples.SELF.node(), Samples.DAY), 3);
        view.put(
                Keys.job("run-000002"),
                JobRecord.accepted(
                        Samples.request("run-000002", "guest", Rank.IDLE, 25_000, 32),
                        Samples.PEER.node(),
                        Samples.DAY),
                4);
        view.watchedTo(4);
        long revision = 4;
        for (Incarnation each : List.of(Samples.SELF, Samples.PEER)) {
            Transaction draft = new Transaction(view, each, Samples.LIMITS, Samples.DAY);
            new QuotaAllotments(view, placing, each.node(), List.of(Samples.SELF.node(), Samples.PEER.node()))
                    .propose(draft, false, true, Instant.EPOCH);
            Samples.commit(view, draft, ++revision);
        }
        for (String id : List.of("run-000001", "run-000002")) {
            Transaction draft = new Transaction(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
            assertThat(placing.withinShare(view.job(id), draft)).isGreaterThanOrEqualTo(25_000);
        }
    }
}
