package org.gullway.transport;

/** The status codes that the protocol uses. */
public final class HttpStatus {
    public static final int OK = 200;
    public static final int CREATED = 201;
    /** The request does not have the stated form. */
    public static final int BAD_REQUEST = 400;

    public static final int NOT_FOUND = 404;
    public static final int METHOD_NOT_ALLOWED = 405;
    /** A condition failed: a key's version, or an agent's fencing token or epoch. */
    public static final int CONFLICT = 409;
    /** A watch asked for revisions that the store no longer keeps. */
    public static final int GONE = 410;
    /** Another controller is responsible. */
    public static final int MISDIRECTED = 421;
    /** The job can never run. */
    public static final int UNPROCESSABLE = 422;

    public static final int TOO_MANY_REQUESTS = 429;
    public static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
