package quotagateway.scale.soak;

/**
 * A disturbance of discovery.
 *
 * @param node the number of the node that it disturbs, or {@link #ALL_NODES}
 * @param from when it began (ms of the run)
 * @param until when discovery could be reached again, or what it has counts as told all the same (ms of the run)
 * @param toldWithinMs how long after that, or after a change that came later, a change may still be unknown
 */
record FaultPeriod(int node, double from, double until, double toldWithinMs) {
    private static final int ALL_NODES = -1;
    /** A change counts as told so long (ms) after discovery had it and could be reached. */
    private static final double TOLD_AFTER_OUTAGE_MS = 6000;
    /** Whatever discovery has counts as told so long (ms) after a SIGHUP that moves it. */
    private static final double TOLD_AFTER_MOVE_MS = 4000;

    /** Discovery could not be reached, or did not answer. */
    static FaultPeriod outage(double from, double until) {
        return new FaultPeriod(ALL_NODES, from, until, TOLD_AFTER_OUTAGE_MS);
    }

    /** The same for one node alone. */
    static FaultPeriod outageOf(int node, double from, double until) {
        return new FaultPeriod(node, from, until, TOLD_AFTER_OUTAGE_MS);
    }

    /** A node got SIGHUP with a configuration that moves discovery. */
    static FaultPeriod moveOf(int node, double signalAt) {
        return new FaultPeriod(node, signalAt, signalAt + TOLD_AFTER_MOVE_MS, 0);
    }

    private boolean concerns(int otherNode) {
        return node == ALL_NODES || node == otherNode;
    }

    /** How long (ms) after a change a node may not know of it, for an attempt that began then; 0 for not at all. */
    double notificationDelay(int ofNode, double changeAt, double attemptAt) {
        boolean disturbs = concerns(ofNode) && from < attemptAt && until > changeAt - toldWithinMs;
        return disturbs ? Math.max(0, until - changeAt) + toldWithinMs : 0;
    }
}
