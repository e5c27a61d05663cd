package quotagateway.policy.health;

/**
 * Ejects one endpoint for a while when its attempts fail in a row (outlier detection, as Envoy has it). After the
 * ejection it is on trial: one attempt at a time, and a failure ejects it again, for twice as long. A success ends all
 * of this. Whether the fleet can spare the endpoint is the caller's to say.
 */
public final class OutlierDetector {
    /** Length of the first ejection: longer than a blip, short against the time that a client waits. */
    private static final double FIRST_EJECTION_MS = 500;
    /** It is doubled so many times at the most, to 8 s. */
    private static final int MAX_DOUBLINGS = 4;
    /** Failures without a success between that eject an endpoint, weighed by what they prove. */
    private static final double EJECTING_FAILURES = 3;

    private double failures;
    private double ejectedUntil;
    private double doublings;
    private boolean onTrial;
    private boolean unreachableOnTrial;

    /** Whether nothing may be sent there at present. */
    public boolean isEjected(double now) {
        return now < ejectedUntil;
    }

    /** Whether it was ejected and has not succeeded since. */
    public boolean isOnTrial() {
        return onTrial;
    }

    /**
     * Counts a failure.
     *
     * @param weight 1 for an ordinary failure, more or less by what it proves
     * @return whether the endpoint should now be ejected
     */
    public boolean recordFailure(double weight, double now) {
        failures += weight;
        return (failures >= EJECTING_FAILURES || onTrial) && !isEjected(now);
    }

    /** No connection to the endpoint: chance at first, but on trial it means that the process has ended. */
    public void recordUnreachable() {
        unreachableOnTrial |= onTrial;
    }

    /** Ejects the endpoint, for twice as long as the last time. */
    public void eject(double now) {
        ejectedUntil = now + FIRST_EJECTION_MS * Math.pow(2, doublings);
        doublings = Math.min(doublings + 1, MAX_DOUBLINGS);
        onTrial = true;
    }

    /** An attempt has succeeded. */
    public void recordSuccess() {
        failures = 0;
        onTrial = false;
        unreachableOnTrial = false;
        doublings = 0;
    }

    /** Whether it could not be reached when it was on trial: its process may have restarted since. */
    public boolean mayHaveRestarted() {
        return unreachableOnTrial;
    }

    /** Forgets failures and ejections: another process is listed there. Until it answers a trial goes on. */
    public void onNewProcess() {
        failures = 0;
        ejectedUntil = 0;
        doublings = 0;
    }

    /** Forgets everything: an operator vouches for the endpoint. */
    public void reset() {
        onNewProcess();
        onTrial = false;
        unreachableOnTrial = false;
    }
}
