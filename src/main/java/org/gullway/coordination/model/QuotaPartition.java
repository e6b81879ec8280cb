package org.gullway.coordination.model;

import java.util.Map;
import java.util.TreeMap;

/**
 * How much of each team's limit the holder of a share may use. The shares of a team never sum to more than its limit,
 * so holders place without asking each other.
 */
public record QuotaPartition(Map<String, Amount> amountByTeam) implements StoreRecord {
    public static final QuotaPartition EMPTY = new QuotaPartition(Map.of());

    /** Processors and cards. */
    public record Amount(double cpus, double gpus) {
        public static final Amount NONE = new Amount(0, 0);

        public Amount plus(double moreCpus, double moreCards) {
            return new Amount(Math.max(0, cpus + moreCpus), Math.max(0, gpus + moreCards));
        }
    }

    public Amount of(String team) {
        return amountByTeam.getOrDefault(team, Amount.NONE);
    }

    /** This record with another amount for one team. */
    public QuotaPartition with(String team, Amount amount) {
        Map<String, Amount> next = new TreeMap<>(amountByTeam);
        if (amount.equals(Amount.NONE)) {
            next.remove(team);
        } else {
            next.put(team, amount);
        }
        return new QuotaPartition(next);
    }
}
