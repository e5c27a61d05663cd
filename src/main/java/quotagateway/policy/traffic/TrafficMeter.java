package quotagateway.policy.traffic;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;
import static quotagateway.policy.statistics.Ewma.SLOW_EWMA_WEIGHT;

import quotagateway.policy.statistics.Ewma;
import quotagateway.policy.timer.ResplitSchedule;

/** What this gateway is asked for and what it sends, counted over re-split periods and averaged. */
public final class TrafficMeter {
    /** The part of the requests that is sent on, until it was seen: a wrong value is well within a factor of two. */
    private static final double INITIAL_SENT_SHARE = 0.7;
    /** Rates of fewer periods than this say too little to bound anything by them. */
    private static final int WARM_UP_PERIODS = 4;

    private final Ewma sendsPerSecond = new Ewma(FAST_EWMA_WEIGHT, 0);
    private final Ewma requestsPerSecond = new Ewma(FAST_EWMA_WEIGHT, 0);
    private final Ewma attemptsInFlight = new Ewma(FAST_EWMA_WEIGHT, 0);
    private final Ewma sentShare = new Ewma(SLOW_EWMA_WEIGHT, INITIAL_SENT_SHARE);
    private double requestsInPeriod;
    private double sendsInPeriod;
    private double latencyInPeriodMs;
    private long periods;

    /** A request has come. */
    public void onRequest() {
        requestsInPeriod++;
    }

    /** An attempt was sent that takes about this long. */
    public void onSend(double expectedLatencyMs) {
        sendsInPeriod++;
        latencyInPeriodMs += expectedLatencyMs;
    }

    /** Called at every re-split. */
    public void endPeriod() {
        periods++;
        sendsPerSecond.add(sendsInPeriod * 1000 / ResplitSchedule.PERIOD_MS);
        requestsPerSecond.add(
                requestsInPeriod * 1000 / ResplitSchedule.PERIOD_MS,
                Math.max(FAST_EWMA_WEIGHT, 1.0 / periods)); // the mean of all, as long as there are few
        attemptsInFlight.add(latencyInPeriodMs / ResplitSchedule.PERIOD_MS); // Little's law
        if (requestsPerSecond() > 0) {
            sentShare.add(Math.min(1, sendsPerSecond() / requestsPerSecond()));
        }
        sendsInPeriod = 0;
        requestsInPeriod = 0;
        latencyInPeriodMs = 0;
    }

    public double sendsPerSecond() {
        return sendsPerSecond.value();
    }

    public double requestsPerSecond() {
        return requestsPerSecond.value();
    }

    /** The part of the requests that is sent on, 1 at the most. */
    public double sentShare() {
        return sentShare.value();
    }

    /** Mean number of attempts in flight. */
    public double attemptsInFlight() {
        return attemptsInFlight.value();
    }

    /** Periods that have ended. */
    public long periods() {
        return periods;
    }

    /** Whether too few periods have ended for the rates to be relied on. */
    public boolean isWarmingUp() {
        return periods < WARM_UP_PERIODS;
    }
}
