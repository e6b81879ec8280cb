package org.gullway.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Idle connections stay within the socket budget, and unresponsive addresses take one socket each at most. */
class ConnectionPoolTest {
    private static final String STORE_ADDRESS = "10.2.0.1:2379";

    private final List<String> closed = new ArrayList<>();
    private final SocketBudget socketBudget = new SocketBudget(100);
    private final ConnectionPool<String> pool = new ConnectionPool<>(socketBudget, Set.of(STORE_ADDRESS), closed::add);

    private void openAndReturn(String address, String connection) {
        assertThat(pool.tryReserve(address)).isTrue();
        pool.putIdle(address, connection);
    }

    /**
     * Without the budget, a controller that keeps an idle connection to each agent of a large fleet runs out of
     * sockets.
     */
    @Test
    void closesTheLongestIdleConnectionWhenTheBudgetIsUsedUp() {
        socketBudget.onAcceptedChange(75);
        for (int i = 0; i < 10; i++) {
            openAndReturn("10.1.0." + i + ":9000", "c" + i);
        }
        assertThat(pool.takeIdle("10.1.0.0:9000", c -> true)).isEqualTo("c0");
        pool.putIdle("10.1.0.0:9000", "c0");
        openAndReturn("10.1.0.99:9000", "new");
        assertThat(closed).containsExactly("c1");
        assertThat(pool.openCount()).isEqualTo(10);
        socketBudget.onAcceptedChange(-20);
        openAndReturn("10.1.0.98:9000", "more");
        assertThat(closed)
                .as("no further connection is closed while the budget is not used up")
                .hasSize(1);
    }

    /** Partitioned machines take at most one socket each and never use the sockets reserved for the state store. */
    @Test
    void anAddressGetsNoNewConnectionUntilItsAbandonedConnectEnds() {
        String unresponsive = "10.1.0.7:9000";
        assertThat(pool.tryReserve(unresponsive)).isTrue();
        pool.abandon(unresponsive);
        assertThat(pool.blocksNewConnection(unresponsive)).isTrue();
        pool.onAbandonedConnectEnded(unresponsive);
        pool.onConnectFailed();
        assertThat(pool.blocksNewConnection(unresponsive)).isFalse();
        assertThat(pool.openCount()).isZero();
        socketBudget.onAcceptedChange(80);
        for (int i = 0; i < 50; i++) {
            pool.tryReserve("10.1.1." + i + ":9000");
        }
        assertThat(pool.openCount()).isEqualTo(socketBudget.maxOutgoing());
        pool.abandon(STORE_ADDRESS);
        assertThat(pool.blocksNewConnection(STORE_ADDRESS)).isFalse();
        assertThat(pool.tryReserve(STORE_ADDRESS)).isTrue();
    }

    @Test
    void removesIdleConnectionsClosedByThePeer() {
        openAndReturn("10.1.0.1:9000", "a");
        pool.onClosedByPeer("a");
        assertThat(pool.takeIdle("10.1.0.1:9000", c -> true)).isNull();
        assertThat(pool.openCount()).isZero();
        openAndReturn("10.1.0.1:9000", "b");
        assertThat(pool.takeIdle("10.1.0.1:9000", c -> false))
                .as("an idle connection that is no longer usable")
                .isNull();
        assertThat(pool.openCount()).isZero();
    }

    @Test
    void reportsWhenTheAcceptLimitIsNearAndLeavesAReserve() {
        socketBudget.onAcceptedChange(60);
        assertThat(socketBudget.isNearAcceptLimit()).isFalse();
        socketBudget.onAcceptedChange(9);
        assertThat(socketBudget.isNearAcceptLimit()).isTrue();
        socketBudget.onAcceptedChange(socketBudget.maxAccepted() - 69);
        // 85 of 100 sockets are not reserved; the minimum of outgoing connections takes one socket of the reserve.
        assertThat(socketBudget.maxAccepted() + socketBudget.maxOutgoing())
                .as("accepted and outgoing connections together leave a reserve")
                .isLessThanOrEqualTo(86);
    }

    /** In any order of events the pool counts exactly the open connections, and the count stays within the budget. */
    @Property(tries = 200, seed = "31")
    void countsOpenConnections(@ForAll @IntRange(min = 0, max = 100_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Set<String> open = new HashSet<>();
        ConnectionPool<String> randomPool = new ConnectionPool<>(socketBudget, Set.of(STORE_ADDRESS), open::remove);
        List<String[]> inUse = new ArrayList<>();
        int opened = 0;
        for (int step = 0; step < 300; step++) {
            String address = "10.1.0." + random.nextInt(120) + ":9000";
            switch (random.nextInt(4)) {
                case 0 -> {
                    String idle = randomPool.takeIdle(address, c -> random.nextInt(5) > 0);
                    if (idle != null) {
                        inUse.add(new String[] {address, idle});
                    } else if (randomPool.tryReserve(address)) {
                        open.add("c" + ++opened);
                        inUse.add(new String[] {address, "c" + opened});
                    }
                }
                case 1 -> {
                    if (!inUse.isEmpty()) {
                        String[] used = inUse.remove(random.nextInt(inUse.size()));
                        randomPool.putIdle(used[0], used[1]);
                    }
                }
                case 2 -> {
                    if (!inUse.isEmpty()) {
                        randomPool.discard(inUse.remove(random.nextInt(inUse.size()))[1]);
                    }
                }
                default -> {
                    if (!open.isEmpty()) {
                        String picked = open.iterator().next();
                        if (inUse.stream().noneMatch(used -> used[1].equals(picked))) {
                            open.remove(picked);
                            randomPool.onClosedByPeer(picked);
                        }
                    }
                }
            }
            assertThat(randomPool.openCount()).isEqualTo(open.size()).isLessThanOrEqualTo(socketBudget.maxOutgoing());
        }
    }
}
