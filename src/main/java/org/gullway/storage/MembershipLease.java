package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
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
    /** Revision at which this controller's member key was last written. */
    private long memberKeyRevision;
    /** Revision at which the current membership began. */
    private long joinedRevision;
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
    boolean isCurrentLease(long leaseId) {
        return leaseId == membership.leaseId() && phase == Phase.MEMBER;
    }

    Incarnation self() {
        return membership.self();
    }

    long leaseId() {
        return membership.leaseId();
    }

    int membershipNumber() {
        return membershipNumber;
    }

    long memberKeyRevision() {
        return memberKeyRevision;
    }

    long joinedRevision() {
        return joinedRevision;
    }

    String memberKey() {
        return StoreKeys.member(self().node());
    }

    /** Records the revision at which this controller's member key was written on its current lease. */
    void onMemberKeyWritten(long revision) {
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

    private void revokeFormerLease(long leaseId) {
        store.revokeLease(leaseId, outcome -> {
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

    private void writeMemberKey(long leaseId, Instant requestedAt) {
        store.commit(Set.of(memberKey()), key -> 0, Map.of(memberKey(), self()), leaseId, outcome -> {
            if (outcome.isOkWithBody()) {
                completeJoin(leaseId, requestedAt, outcome.revision());
            } else {
                retryJoin();
            }
        });
    }

    private void completeJoin(long leaseId, Instant requestedAt, long revision) {
        membership.onJoined(leaseId, requestedAt);
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
        long leaseId = membership.leaseId();
        Instant sentAt = loop.now();
        Duration timeout = membership.leaseDuration().dividedBy(RENEWAL_TIMEOUT_DIVISOR);
        renewalsInFlight++;
        store.renewLease(leaseId, timeout, outcome -> {
            renewalsInFlight--;
            if (isCurrentLease(leaseId)) {
                onRenewalOutcome(outcome, sentAt);
            }
        });
    }

    private void onRenewalOutcome(StateStoreClient.Outcome outcome, Instant sentAt) {
        if (outcome.isOk()) {
            boolean wasValid = membership.isLeaseValid(loop.now());
            membership.onRenewed(sentAt);
            if (!wasValid) {
                LOG.info("membership lease valid again after a late renewal lease={}", membership.leaseId());
                requestCycle.run();
            }
        } else if (outcome.isNotFound()) {
            LOG.info("membership lease expired in the state store; joining again lease={}", membership.leaseId());
            join();
        }
    }
}
