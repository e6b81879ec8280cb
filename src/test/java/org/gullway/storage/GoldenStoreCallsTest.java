package org.gullway.storage;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.golden.GoldenFile;
import org.gullway.protocol.Count;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

/** Address, method, path, timeout and body of requests to the state store equal those of an earlier version. */
class GoldenStoreCallsTest {
    private static final GoldenFile GOLDEN = GoldenFile.of("store-calls");

    private String goldenEntry;

    private static void ignoreOutcome(StateStoreClient.Outcome outcome) {}

    private void record(String address, HttpRequest request, Consumer<HttpResponse> callback) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String head = address
                + ' '
                + request.method()
                + ' '
                + request.path()
                + ' '
                + request.timeout().toMillis()
                + '\n';
        bytes.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(request.body());
        GOLDEN.check(goldenEntry, bytes.toByteArray());
    }

    private StateStoreClient clientFor(String entry) {
        goldenEntry = entry;
        HttpClient client = this::record;
        return new StateStoreClient(client, "10.2.0.1:2379");
    }

    @Test
    void readRequestsMatchGoldenBytes() {
        clientFor("get").get("live/jobs/run-000412", GoldenStoreCallsTest::ignoreOutcome);
        clientFor("list-first").list(StoreKeys.LIVE, null, GoldenStoreCallsTest::ignoreOutcome);
        clientFor("list-next").list(StoreKeys.LIVE, "live/jobs/run-000412", GoldenStoreCallsTest::ignoreOutcome);
        clientFor("watch")
                .watch(StoreKeys.LIVE, Count.of(431), Duration.ofMillis(875), GoldenStoreCallsTest::ignoreOutcome);
    }

    @Test
    void leaseRequestsMatchGoldenBytes() {
        clientFor("grant").grantLease(Duration.ofSeconds(6), GoldenStoreCallsTest::ignoreOutcome);
        clientFor("renew").renewLease(Count.of(17), Duration.ofSeconds(2), GoldenStoreCallsTest::ignoreOutcome);
        clientFor("end").revokeLease(Count.of(17), GoldenStoreCallsTest::ignoreOutcome);
    }

    @Test
    void transactionRequestsMatchGoldenBytes() {
        Incarnation incarnation = new Incarnation("perch-0", 42);
        Map<String, StoreRecord> changes = new LinkedHashMap<>();
        changes.put(StoreKeys.member("perch-0"), incarnation);
        changes.put(StoreKeys.LEADER, incarnation);
        changes.put(StoreKeys.FENCING_TOKEN, new FencingToken(Count.of(12)));
        changes.put(StoreKeys.job("run-000412"), null);
        clientFor("commit")
                .commit(
                        List.of(StoreKeys.member("perch-0"), StoreKeys.FENCING_TOKEN, StoreKeys.job("run-000412")),
                        // The versions are arbitrary; the golden entry was recorded with each key's length as its
                        // version.
                        key -> Count.of(key.length()),
                        changes,
                        Count.of(17),
                        GoldenStoreCallsTest::ignoreOutcome);
        clientFor("verify")
                .commit(
                        List.of(StoreKeys.job("run-000412")),
                        key -> Count.of(9),
                        Map.of(),
                        Count.ZERO,
                        GoldenStoreCallsTest::ignoreOutcome);
    }
}
