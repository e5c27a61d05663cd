package quotagateway.policy.endpoint;

import java.util.stream.IntStream;
import quotagateway.policy.api.PolicySettings;

/**
 * The part of a long endpoint list that one gateway uses (deterministic subsetting, as in "Site Reliability
 * Engineering", chapter 20): a number of consecutive buckets of the {@link ConsistentHashRing}, beginning at the
 * gateway's position. With n buckets, each endpoint is used by n gateways, adding or removing an endpoint affects only
 * these n gateways, and a restarted gateway gets the same endpoints again.
 */
public final class EndpointSubset {
    /**
     * A list of up to this many endpoints is used completely: the benefit of knowing all endpoints exceeds the cost of
     * examining each.
     */
    static final int MAX_SIZE_USED_WHOLE = 256;
    /**
     * Minimum size. Losing one endpoint then affects at most one in this many of the attempts in flight, so that the
     * load of the other endpoints hardly changes.
     */
    private static final double MIN_ENDPOINTS = 64;
    /**
     * Minimum size for each attempt that a request may need. If half of the endpoints are lost, such as one of two
     * zones, there is still a choice.
     */
    private static final double ENDPOINTS_PER_ALLOWED_ATTEMPT = 16;
    /**
     * Minimum size for each attempt usually in flight. Most endpoints then have no attempt of this gateway in flight,
     * and one of these endpoints is chosen.
     */
    private static final double ENDPOINTS_PER_ATTEMPT_IN_FLIGHT = 8;
    /**
     * Number of gateways that should use each endpoint: if one of them has much traffic or has failed, the others
     * compensate.
     */
    private static final double GATEWAYS_PER_ENDPOINT = 4;
    /**
     * Subset sizes differ between gateways by up to this fraction, so that a list that grows past a threshold changes
     * the subsets of the gateways one after the other.
     */
    private static final double SIZE_SPREAD = 0.2;
    /**
     * The subset grows immediately if fewer than this fraction of the endpoints needed are usable. If 64 are needed,
     * the random sizes of the buckets alone nearly always leave more.
     */
    private static final double MIN_USABLE_FRACTION = 0.6;
    /** Maximum factor of a single increase that compensates for unusable endpoints. */
    private static final double MAX_GROWTH = 2;
    /** The subset shrinks only to this multiple of the size needed, because load returns. */
    private static final double SHRINK_SLACK = 1.25;
    /**
     * A step down removes one in this many buckets. A subset that is more than this many times too large shrinks
     * immediately.
     */
    private static final int SHRINK_DIVISOR = 8;
    /** Minimum time between two steps down. */
    private static final double SHRINK_INTERVAL_MS = 8000;

    private final PolicySettings settings;
    private final EndpointCatalog catalog;
    private final int position;
    /** 1 while the length of the list is not known: this bucket stays in the subset, however long the list becomes. */
    private int bucketCount = 1;

    private double shrunkAt;

    public EndpointSubset(PolicySettings settings, EndpointCatalog catalog) {
        this.settings = settings;
        this.catalog = catalog;
        position = ConsistentHashRing.position(settings.nodeIndex(), settings.nodeCount());
    }

    /** Returns the number of buckets in use, counted from this gateway's position. */
    public int bucketCount() {
        return bucketCount;
    }

    /** Returns whether an endpoint of this id is in the subset, provided that it is listed. */
    public boolean covers(String id) {
        int distance = ConsistentHashRing.bucket(id, settings.nodeCount()) - position;
        return Math.floorMod(distance, settings.nodeCount()) < bucketCount;
    }

    /**
     * Returns the numbers of the buckets whose distance from this gateway's position is at least {@code from} and less
     * than {@code to}.
     */
    public IntStream buckets(int from, int to) {
        return IntStream.range(from, to).map(step -> (position + step) % settings.nodeCount());
    }

    /**
     * Adapts the subset to load and list: it grows immediately and shrinks slowly.
     *
     * @param attemptsInFlight mean number of attempts in flight
     * @param usable number of members that may get requests at present
     */
    public void resize(double now, double attemptsInFlight, double usable) {
        if (catalog.isFirstListIncomplete() || catalog.size() == 0) {
            bucketCount = 1;
            return;
        }
        double needed = endpointsNeeded(attemptsInFlight);
        int maxBuckets = bucketsHolding(needed * SHRINK_SLACK);
        boolean farTooLarge = bucketCount > SHRINK_DIVISOR * maxBuckets;
        if (usable >= needed && bucketCount > maxBuckets && (farTooLarge || now >= shrunkAt + SHRINK_INTERVAL_MS)) {
            shrunkAt = now;
            int oneStepDown = bucketCount - 1 - bucketCount / SHRINK_DIVISOR;
            bucketCount = Math.max(maxBuckets, Math.min(SHRINK_DIVISOR * maxBuckets, oneStepDown));
        }
        double minUsable = needed * MIN_USABLE_FRACTION;
        double growth = usable < minUsable ? Math.min(MAX_GROWTH, minUsable / Math.max(1, usable)) : 1;
        bucketCount =
                (int) Math.max(bucketsHolding(needed), Math.min(settings.nodeCount(), Math.ceil(bucketCount * growth)));
    }

    private double endpointsNeeded(double attemptsInFlight) {
        double byAttempts = Math.max(
                MIN_ENDPOINTS,
                ENDPOINTS_PER_ALLOWED_ATTEMPT * settings.capabilities().maxAttempts());
        double byLoad = Math.max(byAttempts, ENDPOINTS_PER_ATTEMPT_IN_FLIGHT * attemptsInFlight);
        double byGateways = GATEWAYS_PER_ENDPOINT * catalog.upCount() / settings.nodeCount();
        return Math.max(byLoad, byGateways) * (1 + SIZE_SPREAD * position / settings.nodeCount());
    }

    /** Returns the number of buckets that hold this many endpoints on average. */
    private int bucketsHolding(double endpoints) {
        return catalog.upCount() <= MAX_SIZE_USED_WHOLE
                ? settings.nodeCount()
                : (int) Math.min(settings.nodeCount(), Math.ceil(endpoints * settings.nodeCount() / catalog.upCount()));
    }
}
