package quotagateway.upstream;

/**
 * How long a connection may have stood idle and be used again, learned from what comes of using it. A peer
 * closes idle connections when it likes, up to its stated limit, and some do so without a word: the next
 * request written there ends as a reset, which may have run. Only requests can find that out.
 */
final class IdleTimeoutEstimator {
    /** The first class of ages ends here (ms), each further one at twice the one before. */
    private static final double FIRST = 25;

    private static final int CLASSES = 12;
    /** So many uses of one age tell something; fewer may be chance. */
    private static final double TELLING = 5;
    /** Some resets are the peer's at any age: old connections must break so much more often than new ones. */
    private static final double TIMES = 2;

    private static final double MORE = 0.05;

    private final double[] uses = new double[CLASSES];
    private final double[] resets = new double[CLASSES];
    private double newUses;
    private double newResets;
    private double limit = Double.MAX_VALUE;

    /** A connection that had not been used before has answered its first request, or not. */
    void usedNew(boolean reset) {
        newUses++;
        newResets += reset ? 1 : 0;
    }

    /** A connection that had stood idle so long (ms) has answered, or not. */
    void usedAgain(double idle, boolean reset) {
        int age = 0;
        for (double end = FIRST; idle >= end && age < CLASSES - 1; end *= 2) {
            age++;
        }
        uses[age]++;
        if (reset) {
            resets[age]++;
            learn();
        }
    }

    /** What was seen counts for less as time goes on, so that an age given up is tried again. */
    void fade(double kept) {
        newUses *= kept;
        newResets *= kept;
        for (int i = 0; i < CLASSES; i++) {
            uses[i] *= kept;
            resets[i] *= kept;
        }
        learn();
    }

    private void learn() {
        double bearable = TIMES * newResets / Math.max(TELLING, newUses) + MORE;
        double from = 0;
        for (int i = 0; i < CLASSES; i++) {
            if (uses[i] >= TELLING && resets[i] > bearable * uses[i]) {
                limit = from;
                return;
            }
            from = from == 0 ? FIRST : 2 * from;
        }
        limit = Double.MAX_VALUE;
    }

    /** Whether a connection idle for so long (ms) is as good as a new one. */
    boolean allows(double idle) {
        return idle < limit;
    }
}
