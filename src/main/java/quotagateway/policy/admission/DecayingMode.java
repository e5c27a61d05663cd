package quotagateway.policy.admission;

import java.util.Arrays;

/** The most frequent of small numbers, by counts that halve when one has come so often: habits may change. */
public final class DecayingMode {
    private final int[] counts;
    private final int most;
    private int mode;

    public DecayingMode(int numbers, int most) {
        counts = new int[numbers];
        this.most = most;
    }

    /** Counts a number; the most frequent one by now. */
    public int add(int number) {
        if (++counts[number] > counts[mode]) {
            mode = number;
        }
        if (counts[number] >= most) {
            Arrays.setAll(counts, i -> counts[i] / 2);
        }
        return mode;
    }
}
