package org.gullway.coordination.model;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.Arrays;
import java.util.BitSet;
import org.gullway.protocol.JsonSize;

/** An immutable set of task numbers, stored as sorted ranges. */
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

    /**
     * Builds a set from alternating first and last numbers.
     *
     * @throws IllegalArgumentException if the bounds are not ascending with gaps between the ranges
     */
    public static IntegerRanges of(int... bounds) {
        if (bounds.length % 2 != 0) {
            throw new IllegalArgumentException("range bounds must come in pairs: got " + bounds.length + " bounds");
        }
        int previousLast = -2;
        for (int i = 0; i < bounds.length; i += 2) {
            if (bounds[i] <= previousLast + 1 || bounds[i + 1] < bounds[i]) {
                throw new IllegalArgumentException("range bounds not ascending, or ranges not separated, at index " + i
                        + ": got " + bounds[i] + " to " + bounds[i + 1]);
            }
            previousLast = bounds[i + 1];
        }
        return new IntegerRanges(bounds.clone());
    }

    /** Builds a set of the indexes of the bits that are set. */
    public static IntegerRanges of(BitSet numbers) {
        IntList bounds = new IntArrayList();
        for (int first = numbers.nextSetBit(0); first >= 0; ) {
            int end = numbers.nextClearBit(first);
            bounds.add(first);
            bounds.add(end - 1);
            first = numbers.nextSetBit(end);
        }
        return new IntegerRanges(bounds.toIntArray());
    }

    /** The number of elements. */
    public int size() {
        return size;
    }

    /** Whether the number is in the set. */
    public boolean contains(int number) {
        return startsAtOrBefore(firstBoundOfRangeAtOrAfter(number), number);
    }

    private boolean startsAtOrBefore(int firstBound, int number) {
        return firstBound < bounds.length && bounds[firstBound] <= number;
    }

    /** Index of the first bound of the lowest range that ends at or after the number, or the number of bounds. */
    private int firstBoundOfRangeAtOrAfter(int number) {
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

    /** This set with a number added. */
    public IntegerRanges with(int number) {
        int firstBound = firstBoundOfRangeAtOrAfter(number);
        if (startsAtOrBefore(firstBound, number)) {
            return this;
        }
        boolean extendsPrevious = firstBound > 0 && bounds[firstBound - 1] == number - 1;
        boolean extendsNext = firstBound < bounds.length && bounds[firstBound] == number + 1;
        IntList next = new IntArrayList(bounds.length + 2);
        next.addElements(0, bounds, 0, extendsPrevious ? firstBound - 1 : firstBound);
        if (!extendsPrevious) {
            next.add(number);
        }
        if (!extendsNext) {
            next.add(number);
        }
        int nextBound = extendsNext ? firstBound + 1 : firstBound;
        next.addElements(next.size(), bounds, nextBound, bounds.length - nextBound);
        return new IntegerRanges(next.toIntArray());
    }

    /** The smallest number at or after {@code from} that is not in the set. */
    public int firstMissing(int from) {
        int firstBound = firstBoundOfRangeAtOrAfter(from);
        return startsAtOrBefore(firstBound, from) ? bounds[firstBound + 1] + 1 : from;
    }

    /** Alternating first and last numbers of the ranges, ascending. */
    public int[] bounds() {
        return bounds.clone();
    }

    /** The size of the bounds as JSON numbers, each with a separator. */
    int jsonBytes() {
        int bytes = bounds.length;
        for (int bound : bounds) {
            bytes += JsonSize.ofInteger(bound);
        }
        return bytes;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof IntegerRanges ranges && Arrays.equals(bounds, ranges.bounds);
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
