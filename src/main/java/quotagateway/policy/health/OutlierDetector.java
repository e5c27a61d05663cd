package quotagateway.policy.health;

/**
 * Ejects one endpoint for a limited time after consecutive failures (outlier detection, as in Envoy). After the
 * ejection the endpoint is on probation: it gets one attempt at a time, and a failure ejects it again, for twice as
 * long. A success clears failures, probation and doubling. The caller decides whether enough other endpoints are left.
 */
public final class OutlierDetector {
    /**
     * Duration of the first ejection: longer than a brief disturbance, short compared with the time that a client
     * waits.
     */
    private static final double BASE_EJECTION_MS = 500;
    /** Maximum number of doublings of the duration, to 8 s. */
    private static final int MAX_DOUBLINGS = 4;
    /**
     * Number of failures without a success in between that ejects an endpoint, weighted by what each failure proves.
     */
    private static final double EJECTION_THRESHOLD = 3;

    private double failures;
    private double ejectedUntil;
    private double doublings;
    private boolean onProbation;
    private boolean unreachableOnProbation;

    /** Returns whether no attempt may be sent to the endpoint at present. */
    public boolean isEjected(double now) {
        return now < ejectedUntil;
    }

    /** Returns whether the endpoint was ejected and has not succeeded since. */
    public boolean isOnProbation() {
        return onProbation;
    }

    /**
     * Records a failure.
     *
     * @param weight 1 for an ordinary failure, more or less depending on what the failure proves
     * @return whether the endpoint should now be ejected
     */
    public boolean recordFailure(double weight, double now) {
        failures += weight;
        return (failures >= EJECTION_THRESHOLD || onProbation) && !isEjected(now);
    }

    /**
     * Records that no connection to the endpoint could be made. Without probation this may be chance, on probation it
     * means that the process has ended.
     */
    public void recordUnreachable() {
        unreachableOnProbation |= onProbation;
    }

    /** Ejects the endpoint, for twice as long as the last time up to the maximum. */
    public void eject(double now) {
        ejectedUntil = now + BASE_EJECTION_MS * Math.pow(2, doublings);
        doublings = Math.min(doublings + 1, MAX_DOUBLINGS);
        onProbation = true;
    }

    /** Records a successful attempt. */
    public void recordSuccess() {
        failures = 0;
        onProbation = false;
        unreachableOnProbation = false;
        doublings = 0;
    }

    /**
     * Returns whether no connection to the endpoint could be made at some time during the current probation, which
     * lasts from an ejection to the next success or {@link #reset}: the process has ended, and another one may have
     * started.
     */
    public boolean mayHaveRestarted() {
        return unreachableOnProbation;
    }

    /**
     * Clears failures and ejections because another process is listed. A probation continues until that process
     * answers.
     */
    public void onNewProcess() {
        failures = 0;
        ejectedUntil = 0;
        doublings = 0;
    }

    /** Clears all state because an operator has declared the endpoint usable. */
    public void reset() {
        onNewProcess();
        onProbation = false;
        unreachableOnProbation = false;
    }
}
