package org.gullway.fake;

import java.util.HashSet;
import java.util.Set;

/** The partitions of the simulated network: which parties cannot reach each other, and in which direction. */
final class NetworkPartitions {
    private static final String ANY_PARTY = "*";

    /** Directed cuts as "from>to". A party is an address, the name of a client, or {@link #ANY_PARTY}. */
    private final Set<String> cuts = new HashSet<>();

    private final Set<String> clientsWithoutResponses = new HashSet<>();
    private final Set<String> clientsWithoutOutbound = new HashSet<>();

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void heal(String from, String to) {
        cuts.remove(from + ">" + to);
    }

    void heal() {
        cuts.clear();
        clientsWithoutResponses.clear();
        clientsWithoutOutbound.clear();
    }

    boolean isCut(String from, String to) {
        return cuts.contains(from + ">" + to)
                || cuts.contains(from + ">" + ANY_PARTY)
                || cuts.contains(ANY_PARTY + ">" + to);
    }

    void dropResponses(String client, boolean on) {
        set(clientsWithoutResponses, client, on);
    }

    boolean dropsResponses(String client) {
        return clientsWithoutResponses.contains(client);
    }

    void blockOutbound(String client, boolean on) {
        set(clientsWithoutOutbound, client, on);
    }

    boolean blocksOutbound(String client) {
        return clientsWithoutOutbound.contains(client);
    }

    private static void set(Set<String> clients, String client, boolean on) {
        if (on) {
            clients.add(client);
        } else {
            clients.remove(client);
        }
    }
}
