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

/** A user of one job: submits it, queries and cancels it, and passes every response to the rules. */
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
            if (response.status() == HttpStatus.CREATED || response.status() == HttpStatus.OK) {
                boolean first = !accepted;
                accepted = true;
                acceptedAt = loop.now();
                invariants.onAccepted(request.id(), loop.now());
                onState(response, sentAt);
                if (first) {
                    users.stateChanged(this);
                }
                poll();
            } else if (response.status() == HttpStatus.BAD_REQUEST || response.status() == HttpStatus.UNPROCESSABLE) {
                invariants.violations.add("forgotten: " + request.id() + " was refused with " + response.status());
            } else {
                loop.after(Duration.ofSeconds(1), this::submit);
            }
        });
    }

    /** Requests the cancellation until it is answered. */
    void cancel() {
        if (!isFinished()) {
            cancelOnce(anyAddress(), () -> loop.after(Duration.ofSeconds(1), this::cancel));
        }
    }

    /** Sends one cancellation, also of a finished job, which must be answered with its reported state. */
    void cancelOnce(String address, Runnable unanswered) {
        invariants.onCancellationRequested(request.id());
        boolean known = accepted;
        Instant sentAt = loop.now();
        call(
                address,
                HttpRequest.post("/v2/runs/" + request.id() + "/withdraw", Cbor.encode(Cbor.map()), REQUEST_TIMEOUT),
                response -> {
                    if (response.status() == HttpStatus.OK) {
                        onState(response, sentAt);
                        invariants.onCancellationAnswered(request.id(), state(response), loop.now());
                    } else if (response.status() == HttpStatus.NOT_FOUND && known) {
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
            if (response.status() == HttpStatus.OK) {
                onState(response, sentAt);
            }
            invariants.onQueried(request.id(), response.status(), sentAt, loop.now());
        });
    }

    /** Queries all controllers, which must report the same state of a finished job. */
    void queryAllControllers() {
        if (accepted) {
            users.addresses().forEach(this::query);
        }
    }

    /** Repeats the submission, which must be answered with the job's state. */
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

    /** Time from the submission until the first task started; null if none has. */
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
        boolean wasFinished = isFinished();
        if (invariants.onStateReported(request.id(), state(response), sentAt, loop.now())) {
            loop.after(
                    invariants.cancellationLimit(), () -> invariants.checkCancellationLimit(request.id(), loop.now()));
        }
        if (isFinished() && !wasFinished) {
            users.stateChanged(this);
        }
    }
}
