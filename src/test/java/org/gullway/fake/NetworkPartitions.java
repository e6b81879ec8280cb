package org.gullway.fake;

import java.util.HashSet;
import java.util.Set;

/** Which parties of the simulated network cannot reach each other at present, and in which direction. */
final class NetworkPartitions {
    private static final String ANYBODY = "*";

    /** Directed cuts as "from>to"; a party is an address or a client's name. */
    private final Set<String> cuts = new HashSet<>();

    private final Set<String> withoutResponses = new HashSet<>();
    private final Set<String> withoutOutbound = new HashSet<>();

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void heal(String from, String to) {
        cuts.remove(from + ">" + to);
    }

    void heal() {
        cuts.clear();
        withoutResponses.clear();
        withoutOutbound.clear();
    }

    boolean isCut(String from, String to) {
        return cuts.contains(from + ">" + to)
                || cuts.contains(from + ">" + ANYBODY)
                || cuts.contains(ANYBODY + ">" + to);
    }

    void dropResponses(String client, boolean on) {
        set(withoutResponses, client, on);
    }

    boolean dropsResponses(String client) {
        return withoutResponses.contains(client);
    }

    void blockOutbound(String client, boolean on) {
        set(withoutOutbound, client, on);
    }

    boolean blocksOutbound(String client) {
        return withoutOutbound.contains(client);
    }

    private static void set(Set<String> clients, String client, boolean on) {
        if (on) {
            clients.add(client);
        } else {
            clients.remove(client);
        }
    }
}
