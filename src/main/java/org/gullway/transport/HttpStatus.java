package org.gullway.transport;

/** The HTTP status codes used by the protocols of this system. */
public final class HttpStatus {
    public static final int OK = 200;
    public static final int CREATED = 201;
    /** The request is malformed. */
    public static final int BAD_REQUEST = 400;

    public static final int NOT_FOUND = 404;
    public static final int METHOD_NOT_ALLOWED = 405;
    /** A condition failed: the version of a key, or the fencing token or epoch of an agent. */
    public static final int CONFLICT = 409;
    /** A watch requested revisions that the state store no longer keeps. */
    public static final int GONE = 410;
    /** Another controller is responsible for the request; the response may name it. */
    public static final int MISDIRECTED = 421;
    /** The job can never run. */
    public static final int UNPROCESSABLE = 422;

    public static final int TOO_MANY_REQUESTS = 429;
    public static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
