package quotagateway.policy.admission;

import java.util.Arrays;

/** The most frequent of a few small numbers; counts are halved now and then, so that it follows a change. */
final class DecayingMode {
    private final int[] counts;
    private final int maxCount;
    private int mode;

    /**
     * Starts with nothing counted.
     *
     * @param numbers how many numbers there are, from 0
     * @param maxCount all counts are halved when one reaches this
     */
    DecayingMode(int numbers, int maxCount) {
        counts = new int[numbers];
        this.maxCount = maxCount;
    }

    /** Counts a number; returns the most frequent one by now, the first to be so of several. */
    int add(int number) {
        if (++counts[number] > counts[mode]) {
            mode = number;
        }
        if (counts[number] >= maxCount) {
            Arrays.setAll(counts, i -> counts[i] / 2);
        }
        return mode;
    }
}
