package quotagateway.policy.endpoint;

import java.util.stream.IntStream;
import quotagateway.policy.api.PolicySettings;

/**
 * How much of the list a node uses: so many buckets from its place in the ring on (deterministic subsetting).
 * With n buckets each server has n nodes, a server more or less is a matter of those n, and a restarted node
 * finds its servers again, all with no word exchanged.
 */
public final class EndpointSubset {
    /** A list of no more is used whole: to know all of them is worth more than a look at each costs. */
    static final int SMALL = 256;
    /** One server's loss takes no more than this part of what is out; the others hardly feel it. */
    private static final double LEAST = 64;
    /** For each attempt a request may need: with half lost, as with one of two zones, there is choice. */
    private static final double EACH_ATTEMPT = 16;
    /** For each attempt that is out usually: most servers have none of ours, and one of those is chosen. */
    private static final double EACH_OUT = 8;
    /** Nodes that a server should have: where one has much traffic, or has died, others make up for it. */
    private static final double NODES = 4;
    /** Sizes differ so much, so that a list that grows past a mark changes one set after the other. */
    private static final double SPREAD = 0.2;
    /** It is filled up at once when less is of use; chance alone leaves more of 64 nearly always. */
    private static final double FILLED = 0.6;
    /** It shrinks where so much more would still do, by this part, so often (ms): load comes back. */
    private static final double SLACK = 1.25;

    private static final int SHRINK = 8;
    private static final double SHRINK_EVERY = 8000;

    private final PolicySettings set;
    private final EndpointCatalog list;
    private final int place;
    /** The buckets in use. One while the length of the list is not known: it stays, however many come. */
    public int covered = 1;

    private double shrunkAt;

    public EndpointSubset(PolicySettings settings, EndpointCatalog list) {
        set = settings;
        this.list = list;
        place = ConsistentHashRing.place(settings.nodeIndex(), settings.nodeCount());
    }

    public boolean covers(String server) {
        return Math.floorMod(ConsistentHashRing.bucket(server, set.nodeCount()) - place, set.nodeCount()) < covered;
    }

    /** The buckets from one number of steps behind this node's place to another. */
    public IntStream buckets(int from, int to) {
        return IntStream.range(from, to).map(step -> (place + step) % set.nodeCount());
    }

    /** How many servers a node needs with so many attempts out on average. */
    private double wanted(double out) {
        double least = Math.max(LEAST, EACH_ATTEMPT * set.capabilities().maxAttempts());
        double most = Math.max(Math.max(least, EACH_OUT * out), NODES * list.up() / set.nodeCount());
        return most * (1 + SPREAD * place / set.nodeCount());
    }

    /** The buckets that hold so many servers on average. */
    private int holding(double servers) {
        return list.up() <= SMALL
                ? set.nodeCount()
                : (int) Math.min(set.nodeCount(), Math.ceil(servers * set.nodeCount() / list.up()));
    }

    /** Follows load and list, with so many servers of use at present: grows at once, shrinks slowly. */
    public void fit(double now, double out, double usable) {
        double wanted = wanted(out);
        int most = holding(wanted * SLACK);
        if (list.first() || list.size() == 0) {
            covered = 1;
            return;
        }
        boolean far = covered > SHRINK * most;
        if (usable >= wanted && covered > most && (far || now >= shrunkAt + SHRINK_EVERY)) {
            shrunkAt = now;
            covered = Math.max(most, Math.min(SHRINK * most, covered - 1 - covered / SHRINK));
        }
        double more = usable < wanted * FILLED ? Math.min(2, wanted * FILLED / Math.max(1, usable)) : 1;
        covered = (int) Math.max(holding(wanted), Math.min(set.nodeCount(), Math.ceil(covered * more)));
    }
}
