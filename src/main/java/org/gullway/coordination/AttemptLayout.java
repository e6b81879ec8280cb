package org.gullway.coordination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.JsonSize;

/**
 * The live attempts of a job as its record holds them. Tasks are divided into windows of {@link #WINDOW} consecutive
 * numbers. Attempts of one window that share machine, session and second, and whose numbers are as far from those of
 * their tasks, form one run: a bit mask instead of a list.
 *
 * <p>An end, whatever its kind, and a stop never make {@link #mostBytes} larger: windows have fixed places, so a run
 * only loses bits, and what an end can add for tasks that wait again is counted before. A record that fits when a
 * placement is added therefore has room for all that follows.
 */
public final class AttemptLayout {
    /** Tasks of one window. */
    public static final int WINDOW = 8;

    /** Separates the stopping tasks from the live ones in the mask of a run. */
    public static final int STOPPING_SHIFT = WINDOW;

    /** Set in the mask of a window in which nothing is missing. */
    private static final int FULL_MASK = (1 << WINDOW) - 1;

    /** The largest machine name and session that {@link #bytesOfOneMore} assumes, and seconds since submission. */
    private static final Place LONGEST_PLACE = new Place("vm-0000000", 99);

    private static final int DIGITS_OF_SECONDS = 5;

    private final Map<Place, List<Run>> runs;

    private AttemptLayout(Map<Place, List<Run>> runs) {
        this.runs = runs;
    }

    /** One session of a machine. */
    public record Place(String machine, long session) {
        /** Size of its list without the runs: two brackets, two commas, name and session. */
        private int bytes() {
            return 4 + JsonSize.ofText(machine) + JsonSize.ofNumber(session);
        }
    }

    /**
     * Attempts in one window of tasks.
     *
     * @param second when they were placed, in seconds after the second of the submission
     * @param offset number of the attempt less that of the task
     * @param live mask of the tasks, the lowest number first
     * @param stopping mask of those among them that are to stop
     */
    public record Run(long second, int window, long offset, int live, int stopping) {
        /** Both masks in one number. */
        public int masks() {
            return live | stopping << STOPPING_SHIFT;
        }

        private Run with(Run other) {
            return new Run(second, window, offset, live | other.live, stopping | other.stopping);
        }

        private Run key() {
            return new Run(second, window, offset, 0, 0);
        }

        /** Size if all of its attempts were stopping: four numbers, a comma before each. */
        private int mostBytes() {
            return 4
                    + JsonSize.ofNumber(second)
                    + JsonSize.ofNumber(window)
                    + JsonSize.ofNumber(offset)
                    + JsonSize.ofNumber(live | live << STOPPING_SHIFT);
        }
    }

    /** The runs of a job's live attempts. */
    public static AttemptLayout of(JobRecord job) {
        long submitted = job.submitted().getEpochSecond();
        Map<Place, Map<Run, Run>> byPlace = new LinkedHashMap<>();
        for (Placement placement : job.live()) {
            int bit = 1 << placement.task() % WINDOW;
            Run single = new Run(
                    placement.since().getEpochSecond() - submitted,
                    placement.task() / WINDOW,
                    placement.attempt() - placement.task(),
                    bit,
                    placement.stopping() ? bit : 0);
            byPlace.computeIfAbsent(new Place(placement.machine(), placement.session()), p -> new LinkedHashMap<>(4))
                    .merge(single.key(), single, Run::with);
        }
        Map<Place, List<Run>> runs = new LinkedHashMap<>();
        byPlace.forEach((place, ofPlace) -> runs.put(place, new ArrayList<>(ofPlace.values())));
        return new AttemptLayout(runs);
    }

    /** The runs of each session of a machine. */
    public Map<Place, List<Run>> runs() {
        return runs;
    }

    /** Upper bound of the size in JSON of the live and the waiting tasks of this job, whatever ends or is stopped. */
    int mostBytes(JobRecord job) {
        int bytes = mostBytesWaiting(job);
        for (Map.Entry<Place, List<Run>> entry : runs.entrySet()) {
            bytes += entry.getKey().bytes();
            for (Run run : entry.getValue()) {
                bytes += run.mostBytes();
            }
        }
        return bytes;
    }

    /** The first task number after all that are done or live. */
    public static int begun(JobRecord job) {
        int[] done = job.done().bounds();
        int begun = done.length == 0 ? 0 : done[done.length - 1] + 1;
        for (Placement placement : job.live()) {
            begun = Math.max(begun, placement.task() + 1);
        }
        return begun;
    }

    /** Masks of the tasks below {@link #begun} that are neither done nor live, by window. */
    public static Map<Integer, Integer> waitingAgain(JobRecord job) {
        Map<Integer, Integer> liveMasks = new HashMap<>();
        job.live().forEach(p -> liveMasks.merge(p.task() / WINDOW, 1 << p.task() % WINDOW, (a, b) -> a | b));
        Map<Integer, Integer> masks = new LinkedHashMap<>();
        int begun = begun(job);
        int task = job.done().firstMissing(0);
        while (task < begun) {
            int window = task / WINDOW;
            int bit = 1 << task % WINDOW;
            if ((liveMasks.getOrDefault(window, 0) & bit) == 0) {
                masks.merge(window, bit, (a, b) -> a | b);
            }
            task = job.done().firstMissing(task + 1);
        }
        return masks;
    }

    /**
     * Largest size of {@link #waitingAgain} beyond what the runs need, whatever ends. A run of a single attempt is longer
     * than the entry of its window, which may take its place; only a run that loses some of its attempts needs an entry
     * beside itself.
     */
    private int mostBytesWaiting(JobRecord job) {
        BitSet windows = new BitSet();
        waitingAgain(job).keySet().forEach(windows::set);
        for (List<Run> ofPlace : runs.values()) {
            for (Run run : ofPlace) {
                if (Integer.bitCount(run.live()) > 1) {
                    windows.set(run.window());
                }
            }
        }
        return windows.stream().map(AttemptLayout::windowBytes).sum();
    }

    private static int windowsOf(int tasks) {
        return (tasks + WINDOW - 1) / WINDOW;
    }

    /** Two numbers with their commas. */
    private static int windowBytes(int window) {
        return 2 + JsonSize.ofNumber(window) + JsonSize.ofNumber(FULL_MASK);
    }

    /** Size of one more attempt that shares nothing with others but its window of tasks. */
    static int bytesOfOneMore(JobRecord job) {
        int windows = windowsOf(job.request().tasks());
        int offset = 1 + JsonSize.ofNumber(job.attempts() + job.request().tasks());
        Run largest = new Run(0, windows, 0, FULL_MASK, 0);
        int run = largest.mostBytes() - 2 + DIGITS_OF_SECONDS + offset;
        return LONGEST_PLACE.bytes() + run + windowsOf(windowBytes(windows));
    }
}
