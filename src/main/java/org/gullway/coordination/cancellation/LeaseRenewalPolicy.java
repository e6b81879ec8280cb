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
 * Decides whether the lease of an agent may be renewed. A successful heartbeat response renews it.
 *
 * <p><b>The bound on every renewal.</b> Every cancellation that is unknown to this controller was confirmed by another
 * controller after the cancellation watermark (see {@link CancellationWatermark}). Therefore a controller, with or
 * without a valid lease of its own, renews an agent's lease only until the watermark plus the cancellation limit minus
 * the duration of the agent's lease and a reserve for clock errors. The agent's lease then expires within the limit of
 * every unknown cancellation, and the agent itself ends all its tasks, including those of the cancelled jobs, whichever
 * controllers crash and whatever messages are lost.
 *
 * <p><b>Without a valid lease</b> (in a partitioned zone, or while the state store is unavailable to all controllers),
 * leases are renewed under the same bound, so that running tasks continue. Nothing is started. A lease is renewed only
 * if its agent seems to reach no other controller: the agent soon asks this controller again, or another
 * controller commands its machine, or this controller has no external contact at all.
 *
 * <p>Without a valid lease, these agents are rejected in any case:
 *
 * <ul>
 * <li>an agent that has confirmed a higher fencing token than this controller knows, since another controller most
 * likely commands its machine by now, and the agent would drop the response;
 * <li>an agent on whose machine the start of a cancelled task may still arrive; cancelled tasks that the heartbeat
 * lists are no obstacle, since the response that renews the lease stops them;
 * <li>an agent whose machine is not on record, is declared lost, or is in another agent epoch.
 * </ul>
 */
public final class LeaseRenewalPolicy {
    /** Health checks arrive about once a second. After a gap of this length, this controller counts as isolated. */
    private static final Duration EXTERNAL_CONTACT_TIMEOUT = Duration.ofMillis(2500);

    /**
     * An agent that asks again within this time after its last request that was safe to grant, whether its lease was
     * renewed or not, most likely reaches no other controller.
     */
    private static final Duration RETURN_WINDOW = Duration.ofSeconds(25);

    /**
     * The cancellation limit divided by this number is reserved for clock drift. The monotonic clocks of the
     * controller and of the agent, and the timers of both, drift by up to 0.05% each, which adds up to 0.2%.
     */
    private static final long DRIFT_DIVISOR = 500;

    /** Reserved for clock errors in addition to the drift, whatever the cancellation limit. */
    private static final Duration CLOCK_SLACK = Duration.ofMillis(250);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final CancellationEnforcer cancellationEnforcer;
    private final Duration renewalWindow;
    /** When each machine's agent last asked for a renewal that was safe to grant. */
    private final Map<String, Instant> lastRequestAt = new HashMap<>();

    private Instant lastExternalContact = Instant.MIN;

    /**
     * @param cancellationLimit how long after its cancellation a job may still have tasks
     * @param agentLease how long an agent's lease lasts after a renewal
     */
    public LeaseRenewalPolicy(
            ClusterState clusterState,
            Incarnation self,
            CancellationEnforcer cancellationEnforcer,
            Duration cancellationLimit,
            Duration agentLease) {
        this.clusterState = clusterState;
        this.self = self;
        this.cancellationEnforcer = cancellationEnforcer;
        this.renewalWindow = cancellationLimit
                .minus(cancellationLimit.dividedBy(DRIFT_DIVISOR))
                .minus(agentLease)
                .minus(CLOCK_SLACK);
    }

    /**
     * Returns whether any lease may be renewed now.
     *
     * @param knownThrough the cancellation watermark
     */
    public boolean mayRenew(Instant knownThrough, Instant now) {
        return now.isBefore(knownThrough.plus(renewalWindow));
    }

    /**
     * Returns whether this agent's lease may be renewed although this controller holds no valid lease. The caller must
     * also check {@link #mayRenew}. If the renewal is safe, this method records the time of the request, whether or not
     * it grants the renewal. A further safe request within {@link #RETURN_WINDOW} is granted.
     */
    public boolean mayRenewDuringOutage(Heartbeat heartbeat, Instant now) {
        MachineRecord machine = clusterState.machine(heartbeat.machine());
        if (machine == null || !isSafeToRenew(machine, heartbeat)) {
            return false;
        }
        Instant previousRequestAt = lastRequestAt.put(heartbeat.machine(), now);
        return !self.node().equals(machine.controller().node())
                || isIsolated(now)
                || (previousRequestAt != null
                        && previousRequestAt.plus(RETURN_WINDOW).isAfter(now));
    }

    private boolean isSafeToRenew(MachineRecord machine, Heartbeat heartbeat) {
        return machine.agentEpoch().equals(heartbeat.agentEpoch())
                && machine.lifecycle() != MachineRecord.MachineLifecycle.LOST
                && clusterState.fencingToken().isAtLeast(heartbeat.fencingToken())
                && !cancellationEnforcer.mayStillStartCancelledTask(machine, heartbeat);
    }

    /**
     * Returns whether this controller has had no external contact lately. Its zone is then most likely partitioned,
     * and an agent there could not try all other controllers before its lease expires.
     */
    private boolean isIsolated(Instant now) {
        return lastExternalContact.plus(EXTERNAL_CONTACT_TIMEOUT).isBefore(now);
    }

    /** Called for each request from a user, a health check or a peer, and for each response from a peer. */
    public void onExternalContact(Instant now) {
        lastExternalContact = now;
    }

    /** Called when this controller holds a valid lease again. */
    public void reset() {
        lastRequestAt.clear();
    }
}
