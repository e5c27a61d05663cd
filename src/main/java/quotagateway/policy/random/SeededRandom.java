package quotagateway.policy.random;

import java.util.Random;

/**
 * Gives the same numbers as {@link Random} with the same seed, for one thread: {@code Random} updates its state by
 * compare-and-set, which was a tenth of the choice among 200 endpoints, where each one's score draws a number.
 */
public final class SeededRandom extends Random {
    private static final long serialVersionUID = 1L;

    /** The linear congruential generator that {@link Random#next} is specified as. */
    private static final long MULTIPLIER = 0x5DEECE66DL;

    private static final long INCREMENT = 0xBL;
    private static final long MASK = (1L << 48) - 1;

    /** Set by the constructor of the superclass, which calls {@link #setSeed}: so it has no initial value here. */
    private long state;

    public SeededRandom(long seed) {
        super(seed);
    }

    @Override
    public synchronized void setSeed(long seed) {
        state = (seed ^ MULTIPLIER) & MASK;
    }

    @Override
    protected int next(int bits) {
        state = (state * MULTIPLIER + INCREMENT) & MASK;
        return (int) (state >>> (48 - bits));
    }
}
