package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.fake.ForwardingExchange;
import org.gullway.protocol.InvalidTexts;
import org.gullway.transport.HttpExchange;
import org.junit.jupiter.api.Test;

/** A record that cannot be encoded or decoded, and an unforeseen exception, cost themselves alone. */
class UnreadableRecordsTest extends ReplicatedStateFixture {
    /**
     * Guards against a controller that never commits again: the exception of a transaction that cannot be encoded left
     * the transaction in flight for good.
     */
    @Test
    void transactionThatCannotBeEncodedDoesNotBlockLaterTransactions() {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        transaction.put(StoreKeys.job("run-000001"), TestFixtures.unencodableJob("run-000001"));
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        // The event loop of a real process logs an exception and goes on.
        Throwable thrown = catchThrowable(() -> replicatedState.commit(transaction, results::add));
        run(1);
        assertThat(replicatedState.canCommit()).isTrue();
        assertThat(thrown).isNull();
        assertThat(results)
                .extracting(ReplicatedState.CommitResult::isCommitted)
                .containsExactly(false);
        replicatedState.commit(fencingTokenTransaction(), results::add);
        run(1);
        assertThat(store.value(StoreKeys.FENCING_TOKEN).path("epoch").asLong()).isEqualTo(1);
        assertThat(store.value(StoreKeys.job("run-000001"))).isNull();
    }

    /**
     * Guards against one record that makes all others unreadable: a text in it that is not valid UTF-8 made every full
     * read and every watch response with it malformed.
     */
    @Test
    void recordWithTextThatIsNotUtf8DoesNotHideOtherRecords() {
        for (String sequence : InvalidTexts.SEQUENCES) {
            UnreadableRecordsTest test = new UnreadableRecordsTest();
            test.network.listen(
                    STORE_ADDRESS,
                    test.storeProcess,
                    exchange -> test.store.handle(withInvalidTexts(exchange, sequence)));
            test.putInStore(StoreKeys.shard("g-1"), TestFixtures.shard(InvalidTexts.PLACEHOLDER));
            test.putInStore(StoreKeys.shard("g-2"), TestFixtures.shard("vm-000002"));
            test.run(12);
            assertThat(test.clusterState.shard("g-1")).as(sequence).isNull();
            assertThat(test.clusterState.shard("g-2")).as(sequence).isNotNull();
            assertThat(test.replicatedState.canCommit()).as(sequence).isTrue();
            ClusterState restarted = test.restart();
            assertThat(restarted.shard("g-1")).as(sequence).isNull();
            assertThat(restarted.shard("g-2")).as(sequence).isNotNull();
        }
    }

    /** Returns an exchange whose response has the invalid sequence in place of each placeholder. */
    private static HttpExchange withInvalidTexts(HttpExchange exchange, String sequence) {
        return new ForwardingExchange(exchange) {
            @Override
            public void respond(int status, byte[] content) {
                super.respond(status, InvalidTexts.replacePlaceholders(content, sequence));
            }
        };
    }

    /** Guards against a watch that ends for good with an unforeseen exception, since only a response leads to the next. */
    @Test
    void watchGoesOnAfterAnExceptionInItsCallback() {
        run(2);
        requestCycle = () -> {
            requestCycle = () -> {};
            throw new IllegalStateException("expected test failure");
        };
        putInStore(StoreKeys.shard("g-1"), TestFixtures.shard("vm-000001"));
        // The event loop of a real process logs an exception and goes on.
        Throwable thrown = catchThrowable(() -> run(3));
        putInStore(StoreKeys.shard("g-2"), TestFixtures.shard("vm-000002"));
        run(12);
        assertThat(clusterState.shard("g-2")).isNotNull();
        assertThat(replicatedState.canCommit()).isTrue();
        assertThat(thrown).isNull();
    }
}
