package org.gullway.bookkeeping;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.Keys;
import org.gullway.golden.GoldenFile;
import org.gullway.transport.Client;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.Reply;
import org.junit.jupiter.api.Test;

/** Every call of the state service goes out as an earlier version sent it. */
class GoldenStoreCallsTest {
    private static final GoldenFile GOLDEN = GoldenFile.of("store-calls");
    private static final Consumer<StateStore.Outcome> IGNORED = outcome -> {};

    private String name;

    private void record(String address, HttpRequest request, Consumer<Reply> callback) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String head = address
                + ' '
                + request.method()
                + ' '
                + request.path()
                + ' '
                + request.limit().toMillis()
                + '\n';
        bytes.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(request.body());
        GOLDEN.check(name, bytes.toByteArray());
    }

    private StateStore call(String sample) {
        name = sample;
        Client client = this::record;
        return new StateStore(client, "10.2.0.1:2379");
    }

    @Test
    void readingsAreSentAsBefore() {
        call("get").get("live/jobs/run-000412", IGNORED);
        call("list-first").list(Keys.LIVE, null, IGNORED);
        call("list-next").list(Keys.LIVE, "live/jobs/run-000412", IGNORED);
        call("watch").watch(Keys.LIVE, 431, Duration.ofMillis(875), IGNORED);
    }

    @Test
    void leasesAreSentAsBefore() {
        call("grant").grant(Duration.ofSeconds(6), IGNORED);
        call("renew").renew(17, Duration.ofSeconds(2), IGNORED);
        call("end").end(17, IGNORED);
    }

    @Test
    void commitsAreSentAsBefore() {
        Incarnation incarnation = new Incarnation("perch-0", 42);
        Map<String, Object> changes = new LinkedHashMap<>();
        changes.put(Keys.member("perch-0"), incarnation);
        changes.put(Keys.LEADER, incarnation);
        changes.put(Keys.EPOCH, 12L);
        changes.put(Keys.job("run-000412"), null);
        call("commit")
                .commit(
                        List.of(Keys.member("perch-0"), Keys.EPOCH, Keys.job("run-000412")),
                        key -> key.length(),
                        changes,
                        17,
                        IGNORED);
        call("verify").commit(List.of(Keys.job("run-000412")), key -> 9, Map.of(), 0, IGNORED);
    }
}
