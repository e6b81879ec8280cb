package org.gullway.protocol;

/** The body of a response that rejects a request: the reason, for whoever looks into the caller's logs. */
public final class ErrorMessage {
    private ErrorMessage() {}

    /** Encodes the reason for a rejection. */
    public static byte[] encode(String reason) {
        return Cbor.encode(Cbor.map().put("error", reason));
    }
}
