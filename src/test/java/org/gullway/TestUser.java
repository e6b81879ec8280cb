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
import org.gullway.transport.HttpStatus;

/** The user of one job: submits, queries and cancels the job, and passes every response to the invariant checker. */
final class TestUser {
    /** Timeout of a submission or a cancellation. */
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

    private void call(String address, HttpRequest request, Consumer<HttpResponse> callback) {
        Instant sentAt = loop.now();
        client.call(address, request, response -> {
            users.history().add(this.request.id(), loop.now(), () -> describe(address, request, response, sentAt));
            callback.accept(response);
        });
    }

    private String describe(String address, HttpRequest sent, HttpResponse response, Instant sentAt) {
        String result = response.outcome() == HttpResponse.Outcome.ANSWERED
                ? response.status() + " " + (response.body().length == 0 ? "" : state(response))
                : response.outcome().toString();
        return "user: " + sent.method() + " " + sent.path() + " at " + address + ", sent "
                + JobHistory.formatSeconds(sentAt).strip() + " -> " + result;
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
            if (response.status() == HttpStatus.CREATED || response.status() == HttpStatus.OK) {
                boolean firstAcceptance = !accepted;
                accepted = true;
                acceptedAt = loop.now();
                invariants.onAccepted(request.id(), loop.now());
                onState(response, sentAt);
                if (firstAcceptance) {
                    users.notifyAcceptedOrFinished(this);
                }
                poll();
            } else if (response.status() == HttpStatus.BAD_REQUEST || response.status() == HttpStatus.UNPROCESSABLE) {
                invariants.violations.add("forgotten: the valid submission of " + request.id()
                        + " was rejected with status " + response.status());
            } else {
                loop.after(Duration.ofSeconds(1), this::submit);
            }
        });
    }

    /**
     * Requests the cancellation, and repeats the request 1 s after each failure until the job is finished or a response
     * has status 200. Status 404 for an accepted job is a violation and also ends the repetition.
     */
    void cancel() {
        if (!isFinished()) {
            cancelOnce(anyAddress(), () -> loop.after(Duration.ofSeconds(1), this::cancel));
        }
    }

    /**
     * Sends one cancellation request. For a finished job the response must contain the final state that was reported
     * before.
     *
     * @param onFailure called if the request has to be repeated
     */
    void cancelOnce(String address, Runnable onFailure) {
        invariants.onCancellationRequested(request.id());
        boolean acceptedBefore = accepted;
        Instant sentAt = loop.now();
        call(
                address,
                HttpRequest.post("/v2/runs/" + request.id() + "/withdraw", Cbor.encode(Cbor.map()), REQUEST_TIMEOUT),
                response -> {
                    if (response.status() == HttpStatus.OK) {
                        onState(response, sentAt);
                        invariants.onCancellationAnswered(request.id(), state(response), loop.now());
                    } else if (response.status() == HttpStatus.NOT_FOUND && acceptedBefore) {
                        invariants.violations.add("forgotten: cancellation of accepted job " + request.id()
                                + " got status " + response.status());
                    } else {
                        onFailure.run();
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
            if (response.status() == HttpStatus.OK) {
                onState(response, sentAt);
            }
            invariants.onQueried(request.id(), response.status(), sentAt, loop.now());
        });
    }

    /** Queries every controller; all must report the same state of a finished job. */
    void queryAllControllers() {
        if (accepted) {
            users.addresses().forEach(this::query);
        }
    }

    /** Repeats the submission of an accepted job; the response must contain the job's state. */
    void resubmit() {
        if (!accepted) {
            return;
        }
        Instant sentAt = loop.now();
        call(anyAddress(), HttpRequest.post("/v2/runs", Cbor.encode(request.toNode()), REQUEST_TIMEOUT), response -> {
            invariants.onResubmitted(request.id(), response.status(), loop.now());
            if (response.status() == HttpStatus.OK) {
                onState(response, sentAt);
            }
        });
    }

    /** Time from the submission until the first task started; null if no task has started. */
    Duration timeToFirstStart() {
        Instant firstStart = invariants.firstStartOf(request.id());
        return firstStart == null ? null : Duration.between(submittedAt, firstStart);
    }

    /** Time from the submission until a response accepted the job; null if no response has. */
    Duration timeToAcceptance() {
        return acceptedAt == null ? null : Duration.between(submittedAt, acceptedAt);
    }

    private String state(HttpResponse response) {
        try {
            return Cbor.decode(response.body()).path("tide").asText();
        } catch (MalformedMessageException e) {
            invariants.violations.add("malformed response about " + request.id() + ": " + e.getMessage());
            return "";
        }
    }

    private void onState(HttpResponse response, Instant sentAt) {
        boolean wasFinished = isFinished();
        if (invariants.onStateReported(request.id(), state(response), sentAt, loop.now())) {
            loop.after(
                    invariants.cancellationLimit(), () -> invariants.checkCancellationLimit(request.id(), loop.now()));
        }
        if (isFinished() && !wasFinished) {
            users.notifyAcceptedOrFinished(this);
        }
    }
}
