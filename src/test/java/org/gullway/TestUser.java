package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/** A job with what its user was told. */
final class TestUser {
    /** A user waits so long for the answer to a submission or a cancellation, and to a query. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);

    final JobRequest request;
    final Duration runTime;
    private final TestUsers users;
    private final InvariantChecker invariants;
    private final HttpClient client;
    private final EventLoop loop;
    private final Instant submittedAt;
    private boolean accepted;
    private Instant acceptedAt;

    TestUser(TestUsers users, JobRequest request, Duration runTime) {
        this.users = users;
        this.request = request;
        this.runTime = runTime;
        this.invariants = users.invariants();
        this.client = users.client();
        this.loop = users.loop();
        this.submittedAt = loop.now();
    }

    private void call(String address, HttpRequest request, Consumer<HttpResponse> answered) {
        Instant sentAt = loop.now();
        client.call(address, request, response -> {
            users.history().add(this.request.id(), loop.now(), () -> describe(address, request, response, sentAt));
            answered.accept(response);
        });
    }

    private String describe(String address, HttpRequest sent, HttpResponse response, Instant sentAt) {
        String answer = response.outcome() == HttpResponse.Outcome.ANSWERED
                ? response.status() + " " + (response.body().length == 0 ? "" : state(response))
                : response.outcome().toString();
        return "user: " + sent.method() + " " + sent.path() + " at " + address + ", sent "
                + JobHistory.text(sentAt).strip() + " -> " + answer;
    }

    boolean isCancellationRequested() {
        return invariants.isCancellationRequested(request.id());
    }

    boolean isFinished() {
        return invariants.isFinished(request.id());
    }

    private String anyAddress() {
        return users.anyAddress();
    }

    void submit() {
        Instant sentAt = loop.now();
        call(anyAddress(), HttpRequest.post("/v2/runs", Cbor.encode(request.toNode()), REQUEST_TIMEOUT), response -> {
            if (response.status() == 201 || response.status() == 200) {
                boolean news = !accepted;
                accepted = true;
                acceptedAt = loop.now();
                invariants.onAccepted(request.id(), loop.now());
                onState(response, sentAt);
                if (news) {
                    users.stateChanged(this);
                }
                poll();
            } else if (response.status() == 400 || response.status() == 422) {
                invariants.violations.add("forgotten: " + request.id() + " was refused with " + response.status());
            } else {
                loop.after(Duration.ofSeconds(1), this::submit);
            }
        });
    }

    /** Asks for the cancellation until it is answered. */
    void cancel() {
        if (!isFinished()) {
            cancelOnce(anyAddress(), () -> loop.after(Duration.ofSeconds(1), this::cancel));
        }
    }

    /** One request, also for a job that is over; it must be answered with the state that was told. */
    void cancelOnce(String address, Runnable unanswered) {
        invariants.onCancellationRequested(request.id());
        boolean known = accepted;
        Instant sentAt = loop.now();
        call(
                address,
                HttpRequest.post("/v2/runs/" + request.id() + "/withdraw", Cbor.encode(Cbor.map()), REQUEST_TIMEOUT),
                response -> {
                    if (response.status() == 200) {
                        onState(response, sentAt);
                        invariants.onCancellationAnswered(request.id(), state(response), loop.now());
                    } else if (response.status() == 404 && known) {
                        invariants.violations.add("forgotten: cancellation of " + request.id());
                    } else {
                        unanswered.run();
                    }
                });
    }

    private void poll() {
        if (isFinished()) {
            queryAllControllers();
        } else {
            query(anyAddress());
        }
        loop.after(Duration.ofSeconds(isFinished() ? 25 : 5).dividedBy(users.queryRateFactor()), this::poll);
    }

    private void query(String address) {
        Instant sentAt = loop.now();
        call(address, HttpRequest.get("/v2/runs/" + request.id(), QUERY_TIMEOUT), response -> {
            if (response.status() == 200) {
                onState(response, sentAt);
            }
            invariants.onQueried(request.id(), response.status(), sentAt, loop.now());
        });
    }

    /** All controllers must say the same of a job that is over. */
    void queryAllControllers() {
        if (accepted) {
            users.addresses().forEach(this::query);
        }
    }

    /** A submission that is repeated at any later time is answered with the job's state. */
    void resubmit() {
        if (!accepted) {
            return;
        }
        Instant sentAt = loop.now();
        call(anyAddress(), HttpRequest.post("/v2/runs", Cbor.encode(request.toNode()), REQUEST_TIMEOUT), response -> {
            invariants.onResubmitted(request.id(), response.status(), loop.now());
            if (response.status() == 200) {
                onState(response, sentAt);
            }
        });
    }

    /** Time from the submission until the first task began; null if none has. */
    Duration timeToFirstStart() {
        Instant first = invariants.firstStartOf(request.id());
        return first == null ? null : Duration.between(submittedAt, first);
    }

    /** Time from the submission until it was accepted; null if it was not. */
    Duration timeToAcceptance() {
        return acceptedAt == null ? null : Duration.between(submittedAt, acceptedAt);
    }

    private String state(HttpResponse response) {
        try {
            return Cbor.decode(response.body()).path("tide").asText();
        } catch (MalformedMessageException e) {
            invariants.violations.add("unreadable answer: " + e.getMessage());
            return "";
        }
    }

    private void onState(HttpResponse response, Instant sentAt) {
        boolean wasOver = isFinished();
        if (invariants.onStateReported(request.id(), state(response), sentAt, loop.now())) {
            loop.after(
                    invariants.cancellationLimit(), () -> invariants.checkCancellationLimit(request.id(), loop.now()));
        }
        if (isFinished() && !wasOver) {
            users.stateChanged(this);
        }
    }
}
