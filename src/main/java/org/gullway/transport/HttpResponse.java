package org.gullway.transport;

/**
 * What became of a request to another process.
 *
 * @param status 0 unless it was answered
 * @param body empty unless it was answered with one
 */
// Bodies are passed on and never compared.
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(Outcome outcome, int status, byte[] body) {
    private static final byte[] EMPTY = new byte[0];

    /** Whether the request was answered, and if not, whether it may have been carried out. */
    public enum Outcome {
        ANSWERED,
        /** The connection was never made, so the request was certainly not carried out. */
        NOT_SENT,
        /** The same, for want of sockets here: it says nothing about the other side. */
        NO_SOCKET,
        /** The request may have been carried out, or may still be carried out later. */
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

    public static HttpResponse unknown() {
        return new HttpResponse(Outcome.UNKNOWN, 0, EMPTY);
    }

    public boolean isOk() {
        return status == HttpStatus.OK;
    }
}
