package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.fake.ForwardingExchange;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.HttpExchange;
import org.junit.jupiter.api.Test;

/** A revision, version or lease that is no count makes a response of the state store unreadable, and nothing else. */
class UnreadableNumbersTest extends ReplicatedStateFixture {
    private static final List<JsonNode> INVALID = List.of(
            Cbor.map().put("x", BigInteger.ONE.shiftLeft(64)).path("x"),
            Cbor.map().put("x", -1).path("x"),
            Cbor.map().put("x", 7.5).path("x"),
            Cbor.map().put("x", 1.8446744073709552e19).path("x"),
            Cbor.map().put("x", "7").path("x"));

    /** Makes the store's responses to requests for this path pass through the change, until {@link #restore}. */
    private void changeResponses(String path, Consumer<ObjectNode> change) {
        network.listen(
                STORE_ADDRESS,
                storeProcess,
                exchange -> store.handle(exchange.path().equals(path) ? changed(exchange, change) : exchange));
    }

    private void restore() {
        network.listen(STORE_ADDRESS, storeProcess, store::handle);
    }

    private static HttpExchange changed(HttpExchange exchange, Consumer<ObjectNode> change) {
        return new ForwardingExchange(exchange) {
            @Override
            public void respond(int status, byte[] content) {
                try {
                    ObjectNode body = Cbor.decode(content);
                    change.accept(body);
                    super.respond(status, Cbor.encode(body));
                } catch (MalformedMessageException e) {
                    super.respond(status, content);
                }
            }
        };
    }

    private void putShard(String id, String machine) {
        putInStore(StoreKeys.shard(id), TestFixtures.shard(machine));
    }

    private static void setVersion(JsonNode list, String keyField, String key, JsonNode version) {
        for (JsonNode item : list) {
            if (item.path(keyField).asText().equals(key)) {
                ((ObjectNode) item).set("mark", version);
            }
        }
    }

    /**
     * Guards against a revision that is read as another number: the committed changes counted as outdated, or blocked
     * all later ones. The outcome of the transaction is unknown, so it is fenced.
     */
    @Test
    void aCommitWithAnUnreadableRevisionIsFenced() {
        run(1);
        for (JsonNode invalid : INVALID) {
            changeResponses("/commit", body -> body.set("logline", invalid));
            List<ReplicatedState.CommitResult> results = new ArrayList<>();
            replicatedState.commit(fencingTokenTransaction(), results::add);
            time.runUntil(time.now().plusMillis(100));
            assertThat(replicatedState.canCommit()).as("%s", invalid).isFalse();
            restore();
            run(8);
            assertThat(results)
                    .as("%s", invalid)
                    .extracting(ReplicatedState.CommitResult::isCommitted)
                    .containsExactly(false);
            assertThat(replicatedState.canCommit()).as("%s", invalid).isTrue();
            assertThat(clusterState.fencingToken())
                    .as("%s", invalid)
                    .hasToString(
                            store.value(StoreKeys.FENCING_TOKEN).path("epoch").asText());
        }
    }

    /** Guards against a version that is read as 0, the version of keys that do not exist, and hides other records. */
    @Test
    void aListItemWithAnUnreadableVersionDoesNotHideOtherRecords() {
        List<JsonNode> invalidVersions = new ArrayList<>(INVALID);
        invalidVersions.add(Cbor.map().put("x", 0).path("x"));
        invalidVersions.add(Cbor.map().putNull("x").path("x"));
        for (JsonNode invalid : invalidVersions) {
            UnreadableNumbersTest test = new UnreadableNumbersTest();
            test.putShard("g-1", "vm-000001");
            test.putShard("g-2", "vm-000002");
            test.run(1);
            test.changeResponses(
                    "/store", body -> setVersion(body.path("items"), "k", StoreKeys.shard("g-1"), invalid));
            ClusterState restarted = test.restart();
            assertThat(restarted.shard("g-1")).as("%s", invalid).isNull();
            assertThat(restarted.shard("g-2")).as("%s", invalid).isNotNull();
        }
    }

    /** Guards against a change that is never learnt of, because its version in the watch response is unreadable. */
    @Test
    void aWatchEventWithAnUnreadableVersionLeadsToAFullRead() {
        for (JsonNode invalid : INVALID) {
            UnreadableNumbersTest test = new UnreadableNumbersTest();
            test.run(1);
            test.changeResponses(
                    "/watch", body -> setVersion(body.path("events"), "put", StoreKeys.shard("g-1"), invalid));
            test.putShard("g-1", "vm-000001");
            test.run(4);
            assertThat(test.clusterState.shard("g-1")).as("%s", invalid).isNotNull();
            test.putShard("g-2", "vm-000002");
            test.run(4);
            assertThat(test.clusterState.shard("g-2")).as("%s", invalid).isNotNull();
            assertThat(test.replicatedState.canCommit()).as("%s", invalid).isTrue();
        }
    }

    /** Guards against a lease that is read as another number, which the controller could neither renew nor revoke. */
    @Test
    void aLeaseWithAnUnreadableIdIsRequestedAgain() {
        for (JsonNode invalid : INVALID) {
            UnreadableNumbersTest test = new UnreadableNumbersTest();
            test.run(1);
            test.store.setDown(true);
            test.run(1);
            test.store.rejectFrom("perch-0", true);
            test.store.setDown(false);
            test.run(10);
            test.changeResponses("/grants", body -> body.set("tether", invalid));
            test.store.rejectFrom("perch-0", false);
            test.run(3);
            assertThat(test.replicatedState.canCommit()).as("%s", invalid).isFalse();
            test.restore();
            test.run(8);
            assertThat(test.replicatedState.canCommit()).as("%s", invalid).isTrue();
        }
    }
}
