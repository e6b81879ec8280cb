package org.gullway.transport;

/** What a caller of {@link HttpClient} gets: an answer, or the knowledge of how far the request came. */
public record Reply(Kind kind, int status, byte[] body) {
    private static final byte[] EMPTY = new byte[0];

    /** What is known of a request: whether it was answered, and if not, whether it may have been carried out. */
    public enum Kind {
        ANSWERED,
        /** The connection was never made, so the request was certainly not carried out. */
        NOT_SENT,
        /** The same, for want of sockets here: it says nothing about the other side. */
        NO_SOCKET,
        /** The request may have been carried out, or may still be carried out later. */
        UNKNOWN
    }

    public static Reply answered(int status, byte[] body) {
        return new Reply(Kind.ANSWERED, status, body);
    }

    public static Reply notSent() {
        return new Reply(Kind.NOT_SENT, 0, EMPTY);
    }

    static Reply noSocket() {
        return new Reply(Kind.NO_SOCKET, 0, EMPTY);
    }

    public static Reply unknown() {
        return new Reply(Kind.UNKNOWN, 0, EMPTY);
    }

    public boolean ok() {
        return status == 200;
    }
}
