package org.gullway.storage;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes this controller's member key on a lease, renews the lease, and joins anew once it has ended. */
final class MembershipLease {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);
    private static final int RENEWALS_PER_LIFE = 5;
    private static final int RENEWAL_LIMIT_DIVISOR = 3;
    private static final int MOST_RENEWALS_IN_FLIGHT = 2;

    private enum Phase {
        OUTSIDE,
        JOINING,
        MEMBER
    }

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final Membership membership;
    private final Runnable onJoined;
    private final Runnable changed;
    private Phase phase = Phase.OUTSIDE;
    /** Revision at which the own member key was written; a reading that is older shows a former one. */
    private long memberSince;
    /** The same for the beginning of the present membership. */
    private long joinedAt;
    /** Counts memberships: an answer to a commit of an earlier one says nothing of what is on its way now. */
    private int term;

    private int renewals;

    /**
     * @param onJoined runs whenever a membership begins
     * @param changed runs, after {@code onJoined}, whenever this controller may have become entitled to act
     */
    MembershipLease(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            Membership membership,
            Runnable onJoined,
            Runnable changed) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.membership = membership;
        this.onJoined = onJoined;
        this.changed = changed;
    }

    void start() {
        join();
        loop.every(membership.leaseDuration().dividedBy(RENEWALS_PER_LIFE), this::renew);
    }

    /** Whether the member key is written and its lease is surely not over. */
    boolean trusted() {
        return phase == Phase.MEMBER && membership.isTrusted(loop.now());
    }

    /** Whether the membership with this lease is the present one, trusted or not. */
    boolean isCurrent(long lease) {
        return lease == membership.lease() && phase == Phase.MEMBER;
    }

    Incarnation self() {
        return membership.self();
    }

    long lease() {
        return membership.lease();
    }

    int term() {
        return term;
    }

    long memberSince() {
        return memberSince;
    }

    long joinedAt() {
        return joinedAt;
    }

    String key() {
        return StoreKeys.member(self().node());
    }

    /** Records that the member key was written anew, under the same lease. */
    void rewritten(long revision) {
        memberSince = revision;
        clusterState.put(key(), self(), revision);
    }

    /** Joins anew, unless that is under way: two at a time would end each other's lease (incident inc-9df7). */
    void join() {
        if (phase != Phase.JOINING) {
            phase = Phase.JOINING;
            membership.onLost();
            tryToJoin();
        }
    }

    private void tryToJoin() {
        store.get(key(), outcome -> {
            if (outcome.is(200) && outcome.body().hasNonNull("tether")) {
                // Only this node writes this key, so an earlier process or membership of its own left it there.
                endFormerLease(outcome.body().path("tether").asLong());
            } else if (outcome.kind() == HttpResponse.Outcome.ANSWERED && outcome.status() == 404) {
                enter();
            } else {
                rejoinSoon();
            }
        });
    }

    private void endFormerLease(long lease) {
        store.end(lease, outcome -> {
            if (outcome.kind() == HttpResponse.Outcome.ANSWERED && outcome.status() == 200) {
                tryToJoin();
            } else {
                rejoinSoon();
            }
        });
    }

    private void rejoinSoon() {
        loop.after(StateStoreClient.RETRY, this::tryToJoin);
    }

    private void enter() {
        Instant sent = loop.now();
        store.grant(membership.leaseDuration(), outcome -> {
            if (outcome.is(200)) {
                writeKey(outcome.body().path("tether").asLong(), sent);
            } else {
                rejoinSoon();
            }
        });
    }

    private void writeKey(long lease, Instant sent) {
        store.commit(Set.of(key()), key -> 0, Map.of(key(), self()), lease, outcome -> {
            if (outcome.is(200)) {
                joined(lease, sent, outcome.revision());
            } else {
                rejoinSoon();
            }
        });
    }

    private void joined(long lease, Instant sent, long revision) {
        membership.onJoined(lease, sent);
        joinedAt = revision;
        rewritten(revision);
        phase = Phase.MEMBER;
        term++;
        onJoined.run();
        LOG.info("joined as {} with lease {}", self(), lease);
        changed.run();
    }

    private void renew() {
        if (phase != Phase.MEMBER || renewals >= MOST_RENEWALS_IN_FLIGHT) {
            return;
        }
        long lease = membership.lease();
        Instant sent = loop.now();
        renewals++;
        store.renew(lease, membership.leaseDuration().dividedBy(RENEWAL_LIMIT_DIVISOR), outcome -> {
            renewals--;
            if (isCurrent(lease)) {
                renewalAnswered(outcome, sent);
            }
        });
    }

    private void renewalAnswered(StateStoreClient.Outcome outcome, Instant sent) {
        if (outcome.kind() == HttpResponse.Outcome.ANSWERED && outcome.status() == 200) {
            boolean before = membership.isTrusted(loop.now());
            membership.onRenewed(sent);
            if (!before) {
                LOG.info("membership is trusted again");
                changed.run();
            }
        } else if (outcome.kind() == HttpResponse.Outcome.ANSWERED && outcome.status() == 404) {
            LOG.info("membership ended");
            join();
        }
    }
}
