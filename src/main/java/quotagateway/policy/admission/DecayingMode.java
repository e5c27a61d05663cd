package quotagateway.policy.admission;

import java.util.Arrays;

/**
 * Tracks the most frequent value (the mode) of a small range of integers. All counts are halved when one of them
 * reaches a limit, so that the mode follows changes.
 */
final class DecayingMode {
    private final int[] counts;
    private final int maxCount;
    private int mode;

    /**
     * Creates a mode without samples.
     *
     * @param valueCount the number of distinct values, which start at 0
     * @param maxCount all counts are halved when one of them reaches this limit
     */
    DecayingMode(int valueCount, int maxCount) {
        counts = new int[valueCount];
        this.maxCount = maxCount;
    }

    /** Counts a value and returns the mode; of several most frequent values, the one that became so first. */
    int add(int value) {
        if (++counts[value] > counts[mode]) {
            mode = value;
        }
        if (counts[value] >= maxCount) {
            Arrays.setAll(counts, i -> counts[i] / 2);
        }
        return mode;
    }
}
