package org.gullway.peer;

/** The HTTP paths of requests between controllers. */
final class PeerPaths {
    static final String OFFERS = "/offers";
    static final String COMPLETIONS = "/ends";
    static final String CANCELLATIONS = "/cancelled";
    static final String STORE_STATUS = "/state";

    private PeerPaths() {}
}
