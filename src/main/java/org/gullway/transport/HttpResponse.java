package org.gullway.transport;

/**
 * The outcome of a request to another process, with the response if there was one.
 *
 * @param status the HTTP status code; 0 unless the outcome is {@code ANSWERED}
 * @param body the response body; empty if there is none
 */
// Array equality is irrelevant: bodies are never compared.
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(Outcome outcome, int status, byte[] body) {
    private static final byte[] EMPTY = new byte[0];

    /** Whether a response was received, and if not, whether the request may have been processed. */
    public enum Outcome {
        ANSWERED,
        /** No connection to the peer was established, so the request was certainly not processed. */
        NOT_SENT,
        /**
         * The request was not sent because the local socket budget is used up. Does not indicate that the peer is
         * unreachable.
         */
        NO_SOCKET,
        /**
         * The request was processed, but its response was dropped, since it is larger than the request allows. The
         * status is unknown.
         */
        TOO_LARGE,
        /** No complete response was received. The request may have been processed, or may still be processed later. */
        UNKNOWN
    }

    public static HttpResponse answered(int status, byte[] body) {
        return new HttpResponse(Outcome.ANSWERED, status, body);
    }

    public static HttpResponse notSent() {
        return new HttpResponse(Outcome.NOT_SENT, 0, EMPTY);
    }

    static HttpResponse noSocket() {
        return new HttpResponse(Outcome.NO_SOCKET, 0, EMPTY);
    }

    public static HttpResponse tooLarge() {
        return new HttpResponse(Outcome.TOO_LARGE, 0, EMPTY);
    }

    public static HttpResponse unknown() {
        return new HttpResponse(Outcome.UNKNOWN, 0, EMPTY);
    }

    public boolean isOk() {
        return status == HttpStatus.OK;
    }
}
