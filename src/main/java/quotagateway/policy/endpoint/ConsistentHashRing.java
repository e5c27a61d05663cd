package quotagateway.policy.endpoint;

/** Consistent hashing: servers to buckets, one for each node, and nodes to places in a ring of buckets. */
public final class ConsistentHashRing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private ConsistentHashRing() {}

    /** Jump consistent hash (Lamping and Veach): of one bucket more only that bucket's part moves there. */
    static int bucket(String id, int buckets) {
        long key = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            key = (key ^ id.charAt(i)) * FNV_PRIME;
        }
        key = mix(key);
        long at = 0;
        for (long next = 0; next < buckets; ) {
            at = next;
            key = key * 2862933555777941757L + 1;
            next = (long) ((at + 1) * ((double) (1L << 31) / ((key >>> 33) + 1)));
        }
        return (int) at;
    }

    /**
     * The place of a node, by a shuffle that is the same everywhere: neighbours by number, as in a rack or a
     * zone, are strangers in the ring. It is made inside out, so that one node more changes two places.
     */
    public static int place(int node, int nodes) {
        int[] ring = new int[nodes];
        for (int i = 0; i < nodes; i++) {
            int at = (int) Math.floorMod(mix(i + 1L), i + 1L);
            ring[i] = ring[at];
            ring[at] = i;
        }
        return ring[Math.floorMod(node, nodes)];
    }

    /** Spreads the bits of a number (the finisher of SplitMix64). */
    public static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
