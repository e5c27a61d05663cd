package quotagateway.policy.endpoint;

import java.util.stream.IntStream;
import quotagateway.policy.api.PolicySettings;

/**
 * How much of a long list one gateway uses (deterministic subsetting, as in "Site Reliability Engineering", chapter
 * 20): so many buckets of the {@link ConsistentHashRing} from the gateway's position on. With n buckets each endpoint
 * is used by n gateways, one endpoint more or less concerns those n, and a restarted gateway finds its endpoints again.
 */
public final class EndpointSubset {
    /** A list of no more is used whole: to know all of them is worth more than looking at each costs. */
    static final int MAX_SIZE_USED_WHOLE = 256;
    /** One endpoint's loss takes no more than this part of what is in flight; the others hardly feel it. */
    private static final double MIN_ENDPOINTS = 64;
    /** For each attempt that a request may need: with half lost, as with one of two zones, there is choice. */
    private static final double ENDPOINTS_PER_ALLOWED_ATTEMPT = 16;
    /** For each attempt usually in flight: most endpoints have none of ours, and one of those is chosen. */
    private static final double ENDPOINTS_PER_ATTEMPT_IN_FLIGHT = 8;
    /** Gateways that an endpoint should have: where one has much traffic, or has died, others make up for it. */
    private static final double GATEWAYS_PER_ENDPOINT = 4;
    /** Gateways' sizes differ by this part, so that a list that grows past a mark changes one after the other. */
    private static final double SIZE_SPREAD = 0.2;
    /** It grows at once where fewer than this part are usable; chance alone leaves more of 64 nearly always. */
    private static final double MIN_USABLE_PART = 0.6;
    /** To make up for unusable endpoints it grows by this factor at a time at the most. */
    private static final double MAX_GROWTH = 2;
    /** It shrinks only to so many times what is needed: load comes back. */
    private static final double SHRINK_SLACK = 1.25;
    /** Of this many parts it loses one at a time; when it is so many times too large it shrinks at once. */
    private static final int SHRINK_DIVISOR = 8;
    /** Time between two steps down. */
    private static final double SHRINK_INTERVAL_MS = 8000;

    private final PolicySettings settings;
    private final EndpointCatalog catalog;
    private final int position;
    /** One while the length of the list is not known: that bucket stays, however long the list turns out. */
    private int bucketCount = 1;

    private double shrunkAt;

    public EndpointSubset(PolicySettings settings, EndpointCatalog catalog) {
        this.settings = settings;
        this.catalog = catalog;
        position = ConsistentHashRing.position(settings.nodeIndex(), settings.nodeCount());
    }

    /** Buckets in use, counted from this gateway's position on. */
    public int bucketCount() {
        return bucketCount;
    }

    /** Whether the endpoint of this id is in the subset, if a list has it. */
    public boolean covers(String id) {
        int steps = ConsistentHashRing.bucket(id, settings.nodeCount()) - position;
        return Math.floorMod(steps, settings.nodeCount()) < bucketCount;
    }

    /** The numbers of the buckets from one number of steps behind this gateway's position to another, excluded. */
    public IntStream buckets(int from, int to) {
        return IntStream.range(from, to).map(step -> (position + step) % settings.nodeCount());
    }

    /**
     * Follows load and list: grows at once, shrinks slowly.
     *
     * @param attemptsInFlight their mean number
     * @param usable members that may get requests at present
     */
    public void fit(double now, double attemptsInFlight, double usable) {
        if (catalog.isFirstListIncomplete() || catalog.size() == 0) {
            bucketCount = 1;
            return;
        }
        double needed = endpointsNeeded(attemptsInFlight);
        int upper = bucketsHolding(needed * SHRINK_SLACK);
        boolean farTooMany = bucketCount > SHRINK_DIVISOR * upper;
        if (usable >= needed && bucketCount > upper && (farTooMany || now >= shrunkAt + SHRINK_INTERVAL_MS)) {
            shrunkAt = now;
            int oneStepDown = bucketCount - 1 - bucketCount / SHRINK_DIVISOR;
            bucketCount = Math.max(upper, Math.min(SHRINK_DIVISOR * upper, oneStepDown));
        }
        double minUsable = needed * MIN_USABLE_PART;
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

    /** The buckets that hold so many endpoints on average. */
    private int bucketsHolding(double endpoints) {
        return catalog.upCount() <= MAX_SIZE_USED_WHOLE
                ? settings.nodeCount()
                : (int) Math.min(settings.nodeCount(), Math.ceil(endpoints * settings.nodeCount() / catalog.upCount()));
    }
}
