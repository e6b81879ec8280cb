package org.gullway.coordination.model;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.Arrays;
import java.util.BitSet;

/** An immutable set of task numbers, kept as sorted ranges. */
public final class IntegerRanges {
    public static final IntegerRanges EMPTY = new IntegerRanges(new int[0]);

    /** Alternating first and last numbers, ascending, with gaps between the ranges. */
    private final int[] bounds;

    private final int size;

    private IntegerRanges(int[] bounds) {
        this.bounds = bounds;
        int count = 0;
        for (int i = 0; i < bounds.length; i += 2) {
            count += bounds[i + 1] - bounds[i] + 1;
        }
        this.size = count;
    }

    /** Builds a set from alternating first and last numbers; refuses lists that are not in order. */
    public static IntegerRanges of(int... bounds) {
        int before = -2;
        if (bounds.length % 2 != 0) {
            throw new IllegalArgumentException("an odd number of bounds");
        }
        for (int i = 0; i < bounds.length; i += 2) {
            if (bounds[i] <= before + 1 || bounds[i + 1] < bounds[i]) {
                throw new IllegalArgumentException("bounds out of order: " + Arrays.toString(bounds));
            }
            before = bounds[i + 1];
        }
        return new IntegerRanges(bounds.clone());
    }

    /** The numbers of a bit set. */
    public static IntegerRanges of(BitSet numbers) {
        IntList bounds = new IntArrayList();
        for (int first = numbers.nextSetBit(0); first >= 0; ) {
            int after = numbers.nextClearBit(first);
            bounds.add(first);
            bounds.add(after - 1);
            first = numbers.nextSetBit(after);
        }
        return new IntegerRanges(bounds.toIntArray());
    }

    public int size() {
        return size;
    }

    public boolean contains(int number) {
        int at = rangeAtOrAfter(number);
        return at < bounds.length && bounds[at] <= number;
    }

    /** Index of the first range whose last number is not below the number. */
    private int rangeAtOrAfter(int number) {
        int low = 0;
        int high = bounds.length / 2;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (bounds[2 * middle + 1] < number) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return 2 * low;
    }

    /** This set and the number. */
    public IntegerRanges with(int number) {
        int at = rangeAtOrAfter(number);
        if (at < bounds.length && bounds[at] <= number) {
            return this;
        }
        boolean joinsBefore = at > 0 && bounds[at - 1] == number - 1;
        boolean joinsAfter = at < bounds.length && bounds[at] == number + 1;
        IntList next = new IntArrayList(bounds.length + 2);
        next.addElements(0, bounds, 0, joinsBefore ? at - 1 : at);
        if (!joinsBefore) {
            next.add(number);
        }
        if (!joinsAfter) {
            next.add(number);
        }
        int rest = joinsAfter ? at + 1 : at;
        next.addElements(next.size(), bounds, rest, bounds.length - rest);
        return new IntegerRanges(next.toIntArray());
    }

    /** The smallest number at or after {@code from} that is not in the set. */
    public int firstMissing(int from) {
        int at = rangeAtOrAfter(from);
        return at < bounds.length && bounds[at] <= from ? bounds[at + 1] + 1 : from;
    }

    public int[] bounds() {
        return bounds.clone();
    }

    public int count() {
        return bounds.length / 2;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof IntegerRanges r && Arrays.equals(bounds, r.bounds);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bounds);
    }

    @Override
    public String toString() {
        return Arrays.toString(bounds);
    }
}
