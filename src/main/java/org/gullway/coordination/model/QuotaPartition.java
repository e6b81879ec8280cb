package org.gullway.coordination.model;

import java.util.Map;
import java.util.TreeMap;
import org.gullway.protocol.JsonSize;

/**
 * The part of each team's quota that the holder of the partition may use. A team's amounts in all partitions never sum
 * to more than its quota, so the holders place tasks without coordinating with each other.
 */
public record QuotaPartition(Map<String, Amount> amountByTeam) implements StoreRecord {
    public static final QuotaPartition EMPTY = new QuotaPartition(Map.of());

    /** The encoded amounts of one team, without its name. */
    private static final String LONGEST_AMOUNTS = ":[" + -Double.MAX_VALUE + "," + -Double.MAX_VALUE + "],";

    @Override
    public int maxEncodedBytes() {
        int bytes = NUMBERS_BYTES;
        for (String team : amountByTeam.keySet()) {
            bytes += JsonSize.ofText(team) + LONGEST_AMOUNTS.length();
        }
        return bytes;
    }

    /** A number of processors and GPUs. */
    public record Amount(double cpus, double gpus) {
        public static final Amount NONE = new Amount(0, 0);

        /** The sum of this amount and the arguments, which may be negative; never below zero. */
        public Amount plus(double moreCpus, double moreGpus) {
            return new Amount(Math.max(0, cpus + moreCpus), Math.max(0, gpus + moreGpus));
        }
    }

    /** The amount of one team; {@link Amount#NONE} if the partition has none for it. */
    public Amount of(String team) {
        return amountByTeam.getOrDefault(team, Amount.NONE);
    }

    /** This partition with another amount for one team. */
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
