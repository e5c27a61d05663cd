package quotagateway.policy.hash;

/** The finalizer of the generator SplitMix64 (Steele, Lea and Flood), used as a hash function for numbers. */
public final class SplitMix64 {
    private SplitMix64() {}

    /**
     * Mixes the bits of a number: inputs that differ in one bit give outputs that differ in about half of their 64
     * bits.
     */
    public static long mix(long number) {
        long z = number;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
