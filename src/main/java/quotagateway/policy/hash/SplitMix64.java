package quotagateway.policy.hash;

/** The finisher of the generator SplitMix64 (Steele, Lea and Flood), as a hash of numbers. */
public final class SplitMix64 {
    private SplitMix64() {}

    /** Spreads the bits of a number over all 64: numbers that differ in one bit differ in half of theirs. */
    public static long mix(long number) {
        long z = number;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
