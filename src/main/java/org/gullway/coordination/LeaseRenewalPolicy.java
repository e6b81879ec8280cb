package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.gullway.protocol.WorkerReport;

/**
 * Decides whose lease may be renewed, which an answer with 200 to a report does.
 *
 * <p><b>No longer than the knowledge of cancellations allows.</b> A cancellation that is not known here was confirmed
 * after the moment up to which they are known (see {@link CancellationWatermark}). So no controller, entitled or not, renews a lease later than
 * that moment plus the cancel limit less the lease: the worker itself then ends every such task within the limit,
 * whoever crashes and whatever messages are lost. On the operators' day "gap" the state service refused a leader alone,
 * others confirmed cancellations, and the leader kept the leases for the whole cancel limit.
 *
 * <p><b>Without entitlement</b> (in a zone that is cut off, or while the state service is down for all) leases are
 * kept under the same bound, so that the tasks there go on. No task is started then, and only workers that seem to
 * reach no other controller are kept: those that come back after they were refused here, those that another
 * controller commands, and all while nothing from outside is heard here. What a worker says of a higher epoch shows that it has another commander by now; then it is
 * refused. So is a machine on which the start of a cancelled task may still be on its way; cancelled tasks that the
 * report lists are stopped with the very answer that renews the lease.
 */
public final class LeaseRenewalPolicy {
    /** Health checks come about once a second, so outside something is wrong if none has come for so long. */
    private static final Duration OUTSIDE_SILENT = Duration.ofMillis(2500);

    private static final Duration REFUSAL_MEMORY = Duration.ofSeconds(25);
    /** Steady clocks drift apart by 0.05%: for the controller's and the worker's together, and for the timers' steps. */
    private static final long DRIFT_DIVISOR = 500;

    private static final Duration SLACK = Duration.ofMillis(250);

    private final ClusterView view;
    private final Incarnation self;
    private final CancelledTasks cancelled;
    private final Duration renewedFor;
    private final Map<String, Instant> refused = new HashMap<>();
    private Instant outsideHeardAt = Instant.MIN;

    public LeaseRenewalPolicy(
            ClusterView view, Incarnation self, CancelledTasks cancelled, Duration cancelLimit, Duration workerLease) {
        this.view = view;
        this.self = self;
        this.cancelled = cancelled;
        this.renewedFor = cancelLimit
                .minus(cancelLimit.dividedBy(DRIFT_DIVISOR))
                .minus(workerLease)
                .minus(SLACK);
    }

    /**
     * Whether any lease may be renewed now.
     *
     * @param knownUntil the moment up to which all cancellations that anybody was told of are surely known here
     */
    public boolean mayRenew(Instant knownUntil, Instant now) {
        return now.isBefore(knownUntil.plus(renewedFor));
    }

    /** Whether this worker's report is answered although this controller is not entitled, if leases may be renewed. */
    public boolean keeps(WorkerReport report, Instant now) {
        MachineRecord machine = view.machine(report.machine());
        if (machine == null
                || machine.session() != report.session()
                || machine.fate() == MachineRecord.Disposition.LOST
                || report.token() > view.epoch()
                || cancelled.mayBegin(machine, report)) {
            return false;
        }
        Instant before = refused.put(report.machine(), now);
        // A worker that asks around in vain is away for ten seconds, which a zone that is cut off does not have.
        return !self.node().equals(machine.controller().node())
                || outsideHeardAt.plus(OUTSIDE_SILENT).isBefore(now)
                || before != null && before.plus(REFUSAL_MEMORY).isAfter(now);
    }

    /** To be told of every request of a user, a health check or a peer, and of a peer's answer. */
    public void outsideHeard(Instant now) {
        outsideHeardAt = now;
    }

    /** To be told when this controller is entitled again. */
    public void forget() {
        refused.clear();
    }
}
