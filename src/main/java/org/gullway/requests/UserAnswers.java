package org.gullway.requests;

import java.time.Duration;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.Call;

/** Forms of answers to users, except those that tell the state of a job: see {@link StateAnswers}. */
final class UserAnswers {
    /** When a user who was refused for now may come again. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private static final byte[] EMPTY = new byte[0];

    private UserAnswers() {}

    /** The state of a job without counts of its tasks. */
    static byte[] state(JobStatus status) {
        return Cbor.encode(Cbor.map()
                .put("name_id", status.id())
                .put("tide", status.state().wire()));
    }

    /** The reason of a refusal. */
    static byte[] error(String why) {
        return Cbor.encode(Cbor.map().put("error", why));
    }

    /** Says of something that is no job id that there is no such job. */
    static void notAnId(Call call) {
        call.answer(404, EMPTY);
    }

    /** Refuses for good and says why. */
    static void complain(Call call, int status, String why) {
        call.answer(status, error(why));
    }

    /** Refuses for now. */
    static void refuse(Call call) {
        call.refuse(503, RETRY_AFTER);
    }
}
