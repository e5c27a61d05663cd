package quotagateway.upstream;

/**
 * Estimates for how long a connection may stand idle and still be used. An endpoint closes idle connections when it
 * likes, up to the limit that it states, and some do so without a word: the next request written there ends as a
 * reset, and may have been executed. Only requests can find that out, so the estimate is made from what became of
 * them, counted by how long the connection had been idle before.
 */
final class IdleTimeoutEstimator {
    /** The first class of idle times ends here (ms), each further one at twice the end of the one before. */
    private static final double FIRST_CLASS_END_MS = 25;

    private static final int CLASS_COUNT = 12;
    /** With fewer uses of a class, resets may be chance. */
    private static final double MIN_USES = 5;
    /**
     * Endpoints reset some requests on connections of any age: only idle ones that break so many times as often as
     * new ones are given up.
     */
    private static final double TOLERATED_RESET_RATIO = 2;
    /** Resets (a fraction of uses) that are borne where new connections see none. */
    private static final double TOLERATED_RESET_FRACTION = 0.05;

    /** By class of idle time. */
    private final double[] uses = new double[CLASS_COUNT];

    private final double[] resets = new double[CLASS_COUNT];
    private double firstUses;
    private double firstUseResets;
    private double limitMs = Double.MAX_VALUE;

    /** A new connection has had a reply to its first request, or was reset. */
    void recordFirstUse(boolean reset) {
        firstUses++;
        firstUseResets += reset ? 1 : 0;
    }

    /** A connection that had been idle for so long has had a reply to its next request, or was reset. */
    void recordReuse(double idleMs, boolean reset) {
        int idleClass = classOf(idleMs);
        uses[idleClass]++;
        if (reset) {
            resets[idleClass]++;
            updateLimit();
        }
    }

    private static int classOf(double idleMs) {
        int idleClass = 0;
        for (double end = FIRST_CLASS_END_MS; idleMs >= end && idleClass < CLASS_COUNT - 1; end *= 2) {
            idleClass++;
        }
        return idleClass;
    }

    /** Weighs what was seen so far by a factor below 1, so that an idle time that was given up is tried again. */
    void decay(double factor) {
        firstUses *= factor;
        firstUseResets *= factor;
        for (int i = 0; i < CLASS_COUNT; i++) {
            uses[i] *= factor;
            resets[i] *= factor;
        }
        updateLimit();
    }

    /** The limit is the start of the first class with too many resets. */
    private void updateLimit() {
        double tolerated =
                TOLERATED_RESET_RATIO * firstUseResets / Math.max(MIN_USES, firstUses) + TOLERATED_RESET_FRACTION;
        double classStart = 0;
        for (int i = 0; i < CLASS_COUNT; i++) {
            if (uses[i] >= MIN_USES && resets[i] > tolerated * uses[i]) {
                limitMs = classStart;
                return;
            }
            classStart = classStart == 0 ? FIRST_CLASS_END_MS : 2 * classStart;
        }
        limitMs = Double.MAX_VALUE;
    }

    /** Whether a connection idle for so long is as good as a new one. */
    boolean allows(double idleMs) {
        return idleMs < limitMs;
    }
}
