package quotagateway.policy.endpoint;

import quotagateway.policy.hash.SplitMix64;

/**
 * Consistent hashing of endpoints and gateways onto a ring of buckets, one bucket for each gateway. All gateways
 * compute the same ring without exchanging messages.
 */
public final class ConsistentHashRing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** The multiplier of the linear congruential generator in the paper on jump consistent hash. */
    private static final long JUMP_MULTIPLIER = 2862933555777941757L;

    private ConsistentHashRing() {}

    /**
     * Returns the bucket of an endpoint: the jump consistent hash (Lamping and Veach, "A Fast, Minimal Memory,
     * Consistent Hash Algorithm") of the FNV-1a hash of its id. An additional bucket moves only the endpoints that it
     * takes over.
     */
    static int bucket(String id, int buckets) {
        long key = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            key = (key ^ id.charAt(i)) * FNV_PRIME;
        }
        key = SplitMix64.mix(key);
        long bucket = 0;
        for (long next = 0; next < buckets; ) {
            bucket = next;
            key = key * JUMP_MULTIPLIER + 1;
            next = (long) ((bucket + 1) * ((double) (1L << 31) / ((key >>> 33) + 1)));
        }
        return (int) bucket;
    }

    /**
     * Returns the position of a gateway in the ring. A shuffle with the same result on every gateway places gateways
     * with adjacent numbers, such as the gateways of one rack or zone, far apart. The shuffle is built inside out,
     * from the first gateway on, so that an additional gateway affects only two positions: its own and that of one
     * other gateway.
     */
    public static int position(int gateway, int gateways) {
        int[] ring = new int[gateways];
        for (int i = 0; i < gateways; i++) {
            int swapped = (int) Math.floorMod(SplitMix64.mix(i + 1L), i + 1L);
            ring[i] = ring[swapped];
            ring[swapped] = i;
        }
        return ring[Math.floorMod(gateway, gateways)];
    }
}
