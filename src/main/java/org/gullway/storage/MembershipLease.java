package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.Count;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains this controller's membership: writes its member key on a lease, renews the lease, and joins again once the
 * lease has expired.
 */
final class MembershipLease {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);
    private static final int RENEWALS_PER_LEASE_DURATION = 5;
    private static final int RENEWAL_TIMEOUT_DIVISOR = 3;
    /** Renewals overlap, because the timeout of a renewal is longer than the interval between renewals. */
    private static final int MAX_RENEWALS_IN_FLIGHT = 2;

    private enum Phase {
        NOT_MEMBER,
        JOINING,
        MEMBER
    }

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final Membership membership;
    private final Runnable onJoined;
    private final Runnable requestCycle;
    private Phase phase = Phase.NOT_MEMBER;
    /** Id of the current or last lease; zero before the first. */
    private Count leaseId = Count.ZERO;

    /** Revision at which this controller's member key was last written. */
    private Count memberKeyRevision = Count.ZERO;
    /** Revision at which the current membership began. */
    private Count joinedRevision = Count.ZERO;
    /**
     * Number of the current membership, incremented on each join. The outcome of a transaction that was sent under a
     * lower number is late, and must not be taken for the outcome of the transaction in flight.
     */
    private int membershipNumber;

    private int renewalsInFlight;

    /**
     * @param onJoined runs whenever a membership has begun
     * @param requestCycle runs when this controller may have gained a valid lease; on a join, runs after
     *     {@code onJoined}
     */
    MembershipLease(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            Membership membership,
            Runnable onJoined,
            Runnable requestCycle) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.membership = membership;
        this.onJoined = onJoined;
        this.requestCycle = requestCycle;
    }

    void start() {
        join();
        loop.every(membership.leaseDuration().dividedBy(RENEWALS_PER_LEASE_DURATION), this::renew);
    }

    /** Returns true if the member key is written and its lease has certainly not expired. */
    boolean isValid() {
        return phase == Phase.MEMBER && membership.isLeaseValid(loop.now());
    }

    /** Returns true if this controller is a member with this lease, which may have expired. */
    boolean isCurrentLease(Count lease) {
        return lease.equals(leaseId) && phase == Phase.MEMBER;
    }

    Incarnation self() {
        return membership.self();
    }

    Count leaseId() {
        return leaseId;
    }

    int membershipNumber() {
        return membershipNumber;
    }

    Count memberKeyRevision() {
        return memberKeyRevision;
    }

    Count joinedRevision() {
        return joinedRevision;
    }

    String memberKey() {
        return StoreKeys.member(self().node());
    }

    /** Records the revision at which this controller's member key was written on its current lease. */
    void onMemberKeyWritten(Count revision) {
        memberKeyRevision = revision;
        clusterState.put(memberKey(), self(), revision);
    }

    /**
     * Joins the cluster, unless a join is already in progress: two concurrent joins would revoke each other's lease.
     */
    void join() {
        if (phase != Phase.JOINING) {
            phase = Phase.JOINING;
            membership.onLost();
            tryJoin();
        }
    }

    private void tryJoin() {
        store.get(memberKey(), outcome -> {
            if (outcome.isOkWithBody() && outcome.hasLease()) {
                // Only this controller writes this key, so the lease is left over from an earlier process or an earlier
                // membership of this controller.
                revokeFormerLease(outcome.leaseId());
            } else if (outcome.isNotFound()) {
                requestLease();
            } else {
                retryJoin();
            }
        });
    }

    private void revokeFormerLease(Count formerLeaseId) {
        store.revokeLease(formerLeaseId, outcome -> {
            if (outcome.isOk()) {
                tryJoin();
            } else {
                retryJoin();
            }
        });
    }

    private void retryJoin() {
        loop.after(StateStoreClient.RETRY_DELAY, this::tryJoin);
    }

    private void requestLease() {
        Instant sentAt = loop.now();
        store.grantLease(membership.leaseDuration(), outcome -> {
            if (outcome.isOkWithBody()) {
                writeMemberKey(outcome.leaseId(), sentAt);
            } else {
                retryJoin();
            }
        });
    }

    private void writeMemberKey(Count newLeaseId, Instant requestedAt) {
        store.commit(Set.of(memberKey()), key -> Count.ZERO, Map.of(memberKey(), self()), newLeaseId, outcome -> {
            if (outcome.isOkWithBody()) {
                completeJoin(newLeaseId, requestedAt, outcome.revision());
            } else {
                retryJoin();
            }
        });
    }

    private void completeJoin(Count newLeaseId, Instant requestedAt, Count revision) {
        leaseId = newLeaseId;
        membership.onRenewed(requestedAt);
        joinedRevision = revision;
        onMemberKeyWritten(revision);
        phase = Phase.MEMBER;
        membershipNumber++;
        onJoined.run();
        LOG.info("joined the cluster incarnation={} lease={}", self(), leaseId);
        requestCycle.run();
    }

    private void renew() {
        if (phase != Phase.MEMBER || renewalsInFlight >= MAX_RENEWALS_IN_FLIGHT) {
            return;
        }
        Count renewedLeaseId = leaseId;
        Instant sentAt = loop.now();
        Duration timeout = membership.leaseDuration().dividedBy(RENEWAL_TIMEOUT_DIVISOR);
        renewalsInFlight++;
        store.renewLease(renewedLeaseId, timeout, outcome -> {
            renewalsInFlight--;
            if (isCurrentLease(renewedLeaseId)) {
                onRenewalOutcome(outcome, sentAt);
            }
        });
    }

    private void onRenewalOutcome(StateStoreClient.Outcome outcome, Instant sentAt) {
        if (outcome.isOk()) {
            boolean wasValid = membership.isLeaseValid(loop.now());
            membership.onRenewed(sentAt);
            if (!wasValid) {
                LOG.info("membership lease valid again after a late renewal lease={}", leaseId);
                requestCycle.run();
            }
        } else if (outcome.isNotFound()) {
            LOG.info("membership lease expired in the state store; joining again lease={}", leaseId);
            join();
        }
    }
}
