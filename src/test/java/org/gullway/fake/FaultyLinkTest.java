package org.gullway.fake;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gullway.fake.FaultyLink.Conditions;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;
import org.junit.jupiter.api.Test;

/** Each kind of fault affects the messages on a link as documented. */
class FaultyLinkTest {
    private static final Duration ONE_SECOND = Duration.ofSeconds(1);

    private final SimulatedTime time = new SimulatedTime();
    private final FaultyLink link = new FaultyLink(time.newProcess(), new SplittableRandom(7));
    private final List<String> arrived = new ArrayList<>();
    private final List<String> answered = new ArrayList<>();
    private final Consumer<HttpExchange> server = link.wrapHandler("perch-0", exchange -> {
        arrived.add(exchange.path());
        exchange.respond(HttpStatus.OK, new byte[0]);
    });

    private void send(String path) {
        server.accept(new SimulatedNetwork.Message(
                "", "GET", path, "", new byte[0], (HttpResponse response) -> answered.add(path)));
    }

    private void run(Duration duration) {
        time.runUntil(time.now().plus(duration));
    }

    @Test
    void aLinkWithoutFaultsDeliversImmediately() {
        send("/a");
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).containsExactly("/a");
    }

    @Test
    void aCutLinkDeliversHeldMessagesInOrderWhenRestored() {
        link.cut(true);
        send("/a");
        send("/b");
        run(ONE_SECOND);
        assertThat(arrived).isEmpty();
        link.cut(false);
        assertThat(arrived).containsExactly("/a", "/b");
    }

    @Test
    void lostRequestsNeverArrive() {
        link.set(new Conditions(1, 0, 0, ONE_SECOND, 0, 0, Duration.ZERO));
        send("/a");
        run(ONE_SECOND.multipliedBy(10));
        assertThat(arrived).isEmpty();
    }

    @Test
    void requestsWithLostResponsesAreProcessed() {
        link.set(new Conditions(0, 1, 0, ONE_SECOND, 0, 0, Duration.ZERO));
        send("/a");
        run(ONE_SECOND.multipliedBy(10));
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).isEmpty();
    }

    @Test
    void lateRequestsAreProcessedLaterAndGetNoResponse() {
        link.set(new Conditions(0, 0, 1, ONE_SECOND, 0, 0, Duration.ZERO));
        send("/a");
        assertThat(arrived).isEmpty();
        run(ONE_SECOND.multipliedBy(2));
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).isEmpty();
    }

    @Test
    void copiedRequestsArriveTwiceAndGetOneResponse() {
        link.set(new Conditions(0, 0, 0, ONE_SECOND, 1, 0, Duration.ZERO));
        send("/a");
        assertThat(arrived).containsExactly("/a");
        run(ONE_SECOND.multipliedBy(2));
        assertThat(arrived).containsExactly("/a", "/a");
        assertThat(answered).containsExactly("/a");
    }

    @Test
    void slowResponsesArriveLater() {
        link.set(new Conditions(0, 0, 0, Duration.ZERO, 0, 1, ONE_SECOND));
        send("/a");
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).isEmpty();
        run(ONE_SECOND);
        assertThat(answered).containsExactly("/a");
    }

    @Test
    void aClientTimesOutOnALostRequest() {
        link.set(new Conditions(1, 0, 0, ONE_SECOND, 0, 0, Duration.ZERO));
        List<HttpResponse.Outcome> outcomes = new ArrayList<>();
        link.wrapClient((address, request, callback) -> callback.accept(HttpResponse.answered(200, new byte[0])))
                .call("127.0.0.1:1", HttpRequest.get("/a", ONE_SECOND), response -> outcomes.add(response.outcome()));
        run(ONE_SECOND.multipliedBy(2));
        assertThat(outcomes).containsExactly(HttpResponse.Outcome.UNKNOWN);
    }
}
