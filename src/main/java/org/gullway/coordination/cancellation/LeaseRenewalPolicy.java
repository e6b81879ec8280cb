package org.gullway.coordination.cancellation;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.Heartbeat;

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
    private static final Duration EXTERNAL_SILENCE = Duration.ofMillis(2500);

    private static final Duration REJECTION_MEMORY = Duration.ofSeconds(25);
    /** Steady clocks drift apart by 0.05%: for the controller's and the worker's together, and for the timers' steps. */
    private static final long DRIFT_DIVISOR = 500;

    private static final Duration CLOCK_SLACK = Duration.ofMillis(250);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final CancellationEnforcer cancellationEnforcer;
    private final Duration renewalWindow;
    private final Map<String, Instant> rejectedAt = new HashMap<>();
    private Instant lastExternalContact = Instant.MIN;

    public LeaseRenewalPolicy(
            ClusterState clusterState,
            Incarnation self,
            CancellationEnforcer cancellationEnforcer,
            Duration cancelLimit,
            Duration workerLease) {
        this.clusterState = clusterState;
        this.self = self;
        this.cancellationEnforcer = cancellationEnforcer;
        this.renewalWindow = cancelLimit
                .minus(cancelLimit.dividedBy(DRIFT_DIVISOR))
                .minus(workerLease)
                .minus(CLOCK_SLACK);
    }

    /**
     * Whether any lease may be renewed now.
     *
     * @param knownUntil the moment up to which all cancellations that anybody was told of are surely known here
     */
    public boolean mayRenew(Instant knownThrough, Instant now) {
        return now.isBefore(knownThrough.plus(renewalWindow));
    }

    /** Whether this worker's report is answered although this controller is not entitled, if leases may be renewed. */
    public boolean mayRenewDuringOutage(Heartbeat heartbeat, Instant now) {
        MachineRecord machine = clusterState.machine(heartbeat.machine());
        if (machine == null
                || machine.agentEpoch() != heartbeat.agentEpoch()
                || machine.lifecycle() == MachineRecord.MachineLifecycle.LOST
                || heartbeat.fencingToken() > clusterState.fencingToken()
                || cancellationEnforcer.mayStillStart(machine, heartbeat)) {
            return false;
        }
        Instant before = rejectedAt.put(heartbeat.machine(), now);
        // A worker that asks around in vain is away for ten seconds, which a zone that is cut off does not have.
        return !self.node().equals(machine.controller().node())
                || lastExternalContact.plus(EXTERNAL_SILENCE).isBefore(now)
                || before != null && before.plus(REJECTION_MEMORY).isAfter(now);
    }

    /** To be told of every request of a user, a health check or a peer, and of a peer's answer. */
    public void onExternalContact(Instant now) {
        lastExternalContact = now;
    }

    /** To be told when this controller is entitled again. */
    public void reset() {
        rejectedAt.clear();
    }
}
