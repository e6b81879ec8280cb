package org.gullway.coordination.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Compares {@link IntegerRanges} with a {@link TreeSet} as the reference implementation. */
class IntegerRangesTest {
    @Property(tries = 500, seed = "4")
    void containsTheSameNumbersAsATreeSet(@ForAll @Size(max = 60) List<@IntRange(min = 0, max = 40) Integer> numbers) {
        IntegerRanges ranges = IntegerRanges.EMPTY;
        TreeSet<Integer> expected = new TreeSet<>();
        for (int number : numbers) {
            ranges = ranges.with(number);
            expected.add(number);
            assertThat(ranges.size()).isEqualTo(expected.size());
        }
        int missing = 0;
        while (expected.contains(missing)) {
            missing++;
        }
        assertThat(ranges.firstMissing(0)).isEqualTo(missing);
        for (int i = 0; i <= 41; i++) {
            assertThat(ranges.contains(i)).isEqualTo(expected.contains(i));
        }
        assertThat(IntegerRanges.of(ranges.bounds())).isEqualTo(ranges);
    }

    @Test
    void rejectsInvalidBounds() {
        assertThatThrownBy(() -> IntegerRanges.of(0, 3, 4, 5)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> IntegerRanges.of(3, 2)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> IntegerRanges.of(3)).isInstanceOf(IllegalArgumentException.class);
    }
}
