package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.gullway.protocol.WorkerReport;

/**
 * Keeps workers' leases while this controller has lost the state service: in a zone that is cut off, or while the
 * service is down for all, the tasks there go on instead of ending with the lease.
 *
 * <p>It gives no commands, and only workers that seem to reach no other controller are kept: those that come back
 * after they were refused here, and those that another controller commands. What a worker says of a higher epoch shows
 * that it has another commander by now; then it is refused. A task moves elsewhere only once its end is certain,
 * whoever keeps its lease, and machines with cancelled tasks are returned by the others before their limit; so it
 * ends at all only when the others give up the machines of a zone that is cut off.
 */
public final class LeaseKeeper {
    private static final Duration REFUSAL_MEMORY = Duration.ofSeconds(25);

    private final ClusterView view;
    private final Incarnation self;
    private final Duration longest;
    private final Map<String, Instant> refused = new HashMap<>();

    public LeaseKeeper(ClusterView view, Incarnation self, Duration cancelLimit) {
        this.view = view;
        this.self = self;
        this.longest = cancelLimit;
    }

    /** Whether leases may be kept at all, so long after this controller was last entitled to act. */
    public boolean active(Instant entitledAt, Instant now) {
        return entitledAt.isAfter(Instant.MIN) && now.isBefore(entitledAt.plus(longest));
    }

    /** Whether this worker's report is answered, with the epoch known here and without commands. */
    public boolean keeps(WorkerReport report, Instant now) {
        MachineRecord machine = view.machine(report.machine());
        if (machine == null || machine.session() != report.session() || machine.fate() == MachineRecord.Fate.LOST
                || report.token() > view.epoch() || holdsCancelled(machine)) {
            return false;
        }
        Instant before = refused.put(report.machine(), now);
        return !self.node().equals(machine.controller().node())
                || before != null && before.plus(REFUSAL_MEMORY).isAfter(now);
    }

    /** With its lease such a task ends in time, whether or not anybody can stop it. */
    private boolean holdsCancelled(MachineRecord machine) {
        return view.placementsOn(machine.name()).keySet().stream()
                .anyMatch(id -> view.job(id.task().job()).cancelled());
    }

    /** To be told when this controller is entitled again. */
    public void forget() {
        refused.clear();
    }
}
