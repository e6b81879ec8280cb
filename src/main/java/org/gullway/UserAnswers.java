package org.gullway;

import java.time.Duration;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.Call;

/** The forms in which users are answered. */
final class UserAnswers {
    /** When a user who was refused for now may come again. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private static final byte[] EMPTY = new byte[0];

    private UserAnswers() {}

    /** Tells the whole state of a job. */
    static void status(Call call, JobStatus status) {
        call.answer(200, Cbor.encode(status.toNode()));
    }

    /** Tells the state of a job without counts of its tasks, as a cancellation is answered. */
    static void state(Call call, JobStatus status) {
        call.answer(
                200,
                Cbor.encode(Cbor.map()
                        .put("name_id", status.id())
                        .put("tide", status.state().wire())));
    }

    /** Says that there is no such job. */
    static void unknown(Call call) {
        call.answer(404, EMPTY);
    }

    /** Refuses for good and says why. */
    static void complain(Call call, int status, String why) {
        call.answer(status, Cbor.encode(Cbor.map().put("error", why)));
    }

    /** Refuses for now. */
    static void refuse(Call call) {
        call.refuse(503, RETRY_AFTER);
    }

    /** Tells what was found in the store: the whole state of a job, or that there is no such job. */
    static void found(Call call, JobStatus status) {
        if (status == null) {
            unknown(call);
        } else {
            status(call, status);
        }
    }
}
