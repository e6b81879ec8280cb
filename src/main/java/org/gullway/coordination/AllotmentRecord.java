package org.gullway.coordination;

import java.util.Map;
import java.util.TreeMap;

/**
 * How much of each team's limit the holder of a share may use. The shares of a team never sum to more than its limit,
 * so holders place without asking each other.
 */
public record AllotmentRecord(Map<String, Amount> teams) {
    public static final AllotmentRecord EMPTY = new AllotmentRecord(Map.of());

    /** Processors and cards. */
    public record Amount(double cpus, double cards) {
        public static final Amount NONE = new Amount(0, 0);

        Amount plus(double moreCpus, double moreCards) {
            return new Amount(Math.max(0, cpus + moreCpus), Math.max(0, cards + moreCards));
        }
    }

    public Amount of(String team) {
        return teams.getOrDefault(team, Amount.NONE);
    }

    /** This record with another amount for one team. */
    public AllotmentRecord with(String team, Amount amount) {
        Map<String, Amount> next = new TreeMap<>(teams);
        if (amount.equals(Amount.NONE)) {
            next.remove(team);
        } else {
            next.put(team, amount);
        }
        return new AllotmentRecord(next);
    }
}
