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

/** Each kind of fault of a link does what its name says. */
class FaultyLinkTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final SimulatedTime time = new SimulatedTime();
    private final FaultyLink link = new FaultyLink(time.process(), new SplittableRandom(7));
    private final List<String> arrived = new ArrayList<>();
    private final List<String> answered = new ArrayList<>();
    private final Consumer<HttpExchange> server = link.server("perch-0", exchange -> {
        arrived.add(exchange.path());
        exchange.respond(HttpStatus.OK, new byte[0]);
    });

    private void send(String path) {
        server.accept(new SimulatedNetwork.Message(
                "", "GET", path, "", new byte[0], (HttpResponse response) -> answered.add(path)));
    }

    private void run(Duration span) {
        time.runUntil(time.now().plus(span));
    }

    @Test
    void aGoodLinkDeliversAtOnce() {
        send("/a");
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).containsExactly("/a");
    }

    @Test
    void aCutLinkDeliversAfterwardsInOrder() {
        link.cut(true);
        send("/a");
        send("/b");
        run(SECOND);
        assertThat(arrived).isEmpty();
        link.cut(false);
        assertThat(arrived).containsExactly("/a", "/b");
    }

    @Test
    void lostRequestsNeverArrive() {
        link.set(new Conditions(1, 0, 0, SECOND, 0, 0, Duration.ZERO));
        send("/a");
        run(SECOND.multipliedBy(10));
        assertThat(arrived).isEmpty();
    }

    @Test
    void unansweredRequestsAreApplied() {
        link.set(new Conditions(0, 1, 0, SECOND, 0, 0, Duration.ZERO));
        send("/a");
        run(SECOND.multipliedBy(10));
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).isEmpty();
    }

    @Test
    void lateRequestsAreAppliedLaterAndUnanswered() {
        link.set(new Conditions(0, 0, 1, SECOND, 0, 0, Duration.ZERO));
        send("/a");
        assertThat(arrived).isEmpty();
        run(SECOND.multipliedBy(2));
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).isEmpty();
    }

    @Test
    void copiedRequestsArriveTwiceAndAreAnsweredOnce() {
        link.set(new Conditions(0, 0, 0, SECOND, 1, 0, Duration.ZERO));
        send("/a");
        assertThat(arrived).containsExactly("/a");
        run(SECOND.multipliedBy(2));
        assertThat(arrived).containsExactly("/a", "/a");
        assertThat(answered).containsExactly("/a");
    }

    @Test
    void slowResponsesArriveLater() {
        link.set(new Conditions(0, 0, 0, Duration.ZERO, 0, 1, SECOND));
        send("/a");
        assertThat(arrived).containsExactly("/a");
        assertThat(answered).isEmpty();
        run(SECOND);
        assertThat(answered).containsExactly("/a");
    }

    @Test
    void aClientTimesOutOnALostRequest() {
        link.set(new Conditions(1, 0, 0, SECOND, 0, 0, Duration.ZERO));
        List<HttpResponse.Outcome> kinds = new ArrayList<>();
        link.client((address, request, callback) -> callback.accept(HttpResponse.answered(200, new byte[0])))
                .call("127.0.0.1:1", HttpRequest.get("/a", SECOND), response -> kinds.add(response.outcome()));
        run(SECOND.multipliedBy(2));
        assertThat(kinds).containsExactly(HttpResponse.Outcome.UNKNOWN);
    }
}
