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

/** Kept connections stay within the socket budget, and unresponsive addresses take one socket each at most. */
class ConnectionPoolTest {
    private static final String STATE = "10.2.0.1:2379";

    private final List<String> closed = new ArrayList<>();
    private final SocketBudget socketBudget = new SocketBudget(100);
    private final ConnectionPool<String> pool = new ConnectionPool<>(socketBudget, Set.of(STATE), closed::add);

    private void use(String address, String connection) {
        assertThat(pool.mayConnect(address)).isTrue();
        pool.keep(address, connection);
    }

    /** With a kept connection to each agent of a fleet one controller would run out of sockets. */
    @Test
    void closesTheConnectionThatWasIdleLongestWhenTheBudgetIsUsedUp() {
        socketBudget.onAcceptedChange(75);
        for (int i = 0; i < 10; i++) {
            use("10.1.0." + i + ":9000", "c" + i);
        }
        assertThat(pool.reuse("10.1.0.0:9000", c -> true)).isEqualTo("c0");
        pool.keep("10.1.0.0:9000", "c0");
        use("10.1.0.99:9000", "new");
        assertThat(closed).containsExactly("c1");
        assertThat(pool.open()).isEqualTo(10);
        socketBudget.onAcceptedChange(-20);
        use("10.1.0.98:9000", "more");
        assertThat(closed).as("while the budget allows more").hasSize(1);
    }

    /** Machines that are partitioned take one socket each at most, and never those of the state store. */
    @Test
    void anAbandonedConnectIsNotRepeatedUntilItEnds() {
        String unresponsive = "10.1.0.7:9000";
        assertThat(pool.mayConnect(unresponsive)).isTrue();
        pool.abandon(unresponsive);
        assertThat(pool.isAbandoned(unresponsive)).isTrue();
        pool.abandonedEnded(unresponsive);
        pool.connectFailed();
        assertThat(pool.isAbandoned(unresponsive)).isFalse();
        assertThat(pool.open()).isZero();
        socketBudget.onAcceptedChange(80);
        for (int i = 0; i < 50; i++) {
            pool.mayConnect("10.1.1." + i + ":9000");
        }
        assertThat(pool.open()).isEqualTo(socketBudget.availableForAgents());
        pool.abandon(STATE);
        assertThat(pool.isAbandoned(STATE)).isFalse();
        assertThat(pool.mayConnect(STATE)).isTrue();
    }

    @Test
    void forgetsConnectionsThatThePeerHasClosed() {
        use("10.1.0.1:9000", "a");
        pool.closedByPeer("a");
        assertThat(pool.reuse("10.1.0.1:9000", c -> true)).isNull();
        assertThat(pool.open()).isZero();
        use("10.1.0.1:9000", "b");
        assertThat(pool.reuse("10.1.0.1:9000", c -> false))
                .as("found closed when it was to be used")
                .isNull();
        assertThat(pool.open()).isZero();
    }

    @Test
    void connectionsCloseWithTheirResponseWhenSocketsRunShort() {
        socketBudget.onAcceptedChange(60);
        assertThat(socketBudget.isCrowded()).isFalse();
        socketBudget.onAcceptedChange(9);
        assertThat(socketBudget.isCrowded()).isTrue();
        socketBudget.onAcceptedChange(socketBudget.maxAccepted() - 69);
        assertThat(socketBudget.maxAccepted() + socketBudget.availableForAgents())
                .as("leaves a reserve")
                .isLessThanOrEqualTo(86);
    }

    /** In any order of events the count is that of connections opened and not closed, and stays within the budget. */
    @Property(tries = 200, seed = "31")
    void countsOpenConnections(@ForAll @IntRange(min = 0, max = 100_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Set<String> open = new HashSet<>();
        ConnectionPool<String> generated = new ConnectionPool<>(socketBudget, Set.of(STATE), open::remove);
        List<String[]> inExchange = new ArrayList<>();
        int made = 0;
        for (int step = 0; step < 300; step++) {
            String address = "10.1.0." + random.nextInt(120) + ":9000";
            switch (random.nextInt(4)) {
                case 0 -> {
                    String kept = generated.reuse(address, c -> random.nextInt(5) > 0);
                    if (kept != null) {
                        inExchange.add(new String[] {address, kept});
                    } else if (generated.mayConnect(address)) {
                        open.add("c" + ++made);
                        inExchange.add(new String[] {address, "c" + made});
                    }
                }
                case 1 -> {
                    if (!inExchange.isEmpty()) {
                        String[] exchange = inExchange.remove(random.nextInt(inExchange.size()));
                        generated.keep(exchange[0], exchange[1]);
                    }
                }
                case 2 -> {
                    if (!inExchange.isEmpty()) {
                        generated.discard(inExchange.remove(random.nextInt(inExchange.size()))[1]);
                    }
                }
                default -> {
                    if (!open.isEmpty()) {
                        String any = open.iterator().next();
                        if (inExchange.stream().noneMatch(exchange -> exchange[1].equals(any))) {
                            open.remove(any);
                            generated.closedByPeer(any);
                        }
                    }
                }
            }
            assertThat(generated.open()).isEqualTo(open.size()).isLessThanOrEqualTo(socketBudget.availableForAgents());
        }
    }
}
