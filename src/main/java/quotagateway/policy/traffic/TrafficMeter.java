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
    private final Ewma repeatsPerPeriod = new Ewma(SLOW_EWMA_WEIGHT, 0);
    private final Ewma rejectionsPerPeriod = new Ewma(SLOW_EWMA_WEIGHT, 0);
    private double requestsInPeriod;
    private double repeatsInPeriod;
    private double rejectionsInPeriod;
    private double sendsInPeriod;
    private double latencyInPeriodMs;
    private long periods;

    /** A request has come. */
    public void onRequest() {
        requestsInPeriod++;
    }

    /** The request that came last is a client's retry, by what it says or by how little time it has left. */
    public void onRepeat() {
        repeatsInPeriod++;
    }

    /** A request was rejected. */
    public void onRejection() {
        rejectionsInPeriod++;
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
        repeatsPerPeriod.add(repeatsInPeriod);
        rejectionsPerPeriod.add(rejectionsInPeriod);
        repeatsInPeriod = 0;
        rejectionsInPeriod = 0;
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

    /**
     * The part of rejected requests that is sent on after all, when their clients come again; 0 until that was seen. A
     * client comes again with the probability p of repeats for each rejection and is sent on with that of all requests,
     * s, and otherwise it is as before: {@code p s + p (1 - s) p s + ...}.
     */
    public double sentLaterShare() {
        if (rejectionsPerPeriod.value() <= 0) {
            return 0;
        }
        double comesAgain = Math.min(1, repeatsPerPeriod.value() / rejectionsPerPeriod.value());
        return comesAgain * sentShare() / (1 - comesAgain * (1 - sentShare()));
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
