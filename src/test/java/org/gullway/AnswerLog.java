package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.fake.SimulatedTime;
import org.gullway.transport.Call;

/** What the controllers answered to every request at their public addresses, and how long that took. */
final class AnswerLog {
    /** What a request is for. */
    enum Kind {
        QUESTION,
        SUBMISSION,
        CANCELLATION,
        REPORT,
        OTHER;

        private static Kind of(Call call) {
            if (call.path().equals("/agent/beat")) {
                return REPORT;
            }
            if (call.path().equals("/v2/runs")) {
                return SUBMISSION;
            }
            if (!call.path().startsWith("/v2/runs/")) {
                return OTHER;
            }
            return call.method().equals("GET") ? QUESTION : CANCELLATION;
        }
    }

    /** One request; its status is 0 and its answer's time null until it is answered. */
    static final class Entry {
        final String node;
        final Kind kind;
        final Instant came;
        private Instant answered;
        private int status;
        private boolean comeBack;

        private Entry(String node, Kind kind, Instant came) {
            this.node = node;
            this.kind = kind;
            this.came = came;
        }

        int status() {
            return status;
        }

        /** Whether the answer says when to come back. */
        boolean saysWhenToComeBack() {
            return comeBack;
        }

        /** How long the answer took; so far, if there is none. */
        Duration took(Instant now) {
            return Duration.between(came, answered == null ? now : answered);
        }
    }

    private record LoggedCall(Call call, Entry entry, SimulatedTime time) implements Call {
        @Override
        public String method() {
            return call.method();
        }

        @Override
        public String path() {
            return call.path();
        }

        @Override
        public String query() {
            return call.query();
        }

        @Override
        public byte[] body() {
            return call.body();
        }

        private void note(int status) {
            if (entry.answered != null) {
                throw new IllegalStateException(call.path() + " is answered a second time");
            }
            entry.answered = time.now();
            entry.status = status;
        }

        @Override
        public void answer(int status, byte[] content) {
            note(status);
            call.answer(status, content);
        }

        @Override
        public void refuse(int status, Duration retryAfter) {
            note(status);
            entry.comeBack = retryAfter.compareTo(Duration.ofSeconds(1)) >= 0;
            call.refuse(status, retryAfter);
        }
    }

    private final SimulatedTime time;
    private final List<Entry> entries = new ArrayList<>();

    AnswerLog(SimulatedTime time) {
        this.time = time;
    }

    Call logged(String node, Call call) {
        Entry entry = new Entry(node, Kind.of(call), time.now());
        entries.add(entry);
        return new LoggedCall(call, entry, time);
    }

    void clear() {
        entries.clear();
    }

    List<Entry> of(Kind kind) {
        return entries.stream().filter(entry -> entry.kind == kind).toList();
    }
}
