package quotagateway.policy.hash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SplitMix64Test {
    /** The first number of the reference generator for seed 0 is the finalizer applied to the golden gamma. */
    @Test
    void mixIsTheReferenceFinalizer() {
        assertEquals(0xe220a8397b1dcdafL, SplitMix64.mix(0x9e3779b97f4a7c15L));
        assertEquals(0, SplitMix64.mix(0));
    }

    @Test
    void inputsThatDifferInOneBitDifferInAboutHalfOfTheOutputBits() {
        for (int bit = 0; bit < 64; bit++) {
            int changed = Long.bitCount(SplitMix64.mix(12_345) ^ SplitMix64.mix(12_345 ^ (1L << bit)));
            assertTrue(changed >= 16 && changed <= 48, "bit " + bit + ": " + changed);
        }
    }
}
