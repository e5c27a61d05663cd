package quotagateway.policy.traffic;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;
import static quotagateway.policy.statistics.Ewma.SLOW_EWMA_WEIGHT;

import quotagateway.policy.statistics.Ewma;
import quotagateway.policy.timer.ResplitSchedule;

/** Measures the requests that this gateway receives and the attempts that it sends, averaged over re-split periods. */
public final class TrafficMeter {
    /**
     * Initial estimate of the share of the requests that is sent to endpoints; its error is well within a factor of
     * two.
     */
    private static final double INITIAL_SENT_SHARE = 0.7;
    /** Rates of fewer periods than this are too inaccurate to derive limits from. */
    private static final int WARM_UP_PERIODS = 4;

    private final Ewma sendsPerSecond = new Ewma(FAST_EWMA_WEIGHT, 0);
    private final Ewma requestsPerSecond = new Ewma(FAST_EWMA_WEIGHT, 0);
    private final Ewma attemptsInFlight = new Ewma(FAST_EWMA_WEIGHT, 0);
    private final Ewma sentShare = new Ewma(SLOW_EWMA_WEIGHT, INITIAL_SENT_SHARE);
    private final Ewma clientRetriesPerPeriod = new Ewma(SLOW_EWMA_WEIGHT, 0);
    private final Ewma rejectionsPerPeriod = new Ewma(SLOW_EWMA_WEIGHT, 0);
    private double requestsInPeriod;
    private double clientRetriesInPeriod;
    private double rejectionsInPeriod;
    private double sendsInPeriod;
    private double latencyInPeriodMs;
    private long periods;

    /** Called when a request has arrived. */
    public void onRequest() {
        requestsInPeriod++;
    }

    /** Called when the last request is a client's retry, according to the request or to how little time it has left. */
    public void onClientRetry() {
        clientRetriesInPeriod++;
    }

    /** Called when a request was rejected. */
    public void onRejection() {
        rejectionsInPeriod++;
    }

    /** Called when an attempt was sent whose latency is expected to be about this long. */
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
                Math.max(FAST_EWMA_WEIGHT, 1.0 / periods)); // the arithmetic mean during the first periods
        attemptsInFlight.add(latencyInPeriodMs / ResplitSchedule.PERIOD_MS); // Little's law
        if (requestsPerSecond() > 0) {
            sentShare.add(Math.min(1, sendsPerSecond() / requestsPerSecond()));
        }
        clientRetriesPerPeriod.add(clientRetriesInPeriod);
        rejectionsPerPeriod.add(rejectionsInPeriod);
        clientRetriesInPeriod = 0;
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

    /** Returns the share of the requests that is sent to endpoints, at most 1. */
    public double sentShare() {
        return sentShare.value();
    }

    /**
     * Returns the share of the rejected requests that is eventually sent because their clients retry, or 0 until
     * rejections have been seen. The client of a rejected request retries with probability p, the number of retries
     * for each rejection. The retry is sent with probability s, the share of all requests that is sent, and is
     * otherwise rejected again: {@code p s + p (1 - s) p s + ...}.
     */
    public double eventuallySentShare() {
        if (rejectionsPerPeriod.value() <= 0) {
            return 0;
        }
        double retryProbability = Math.min(1, clientRetriesPerPeriod.value() / rejectionsPerPeriod.value());
        return retryProbability * sentShare() / (1 - retryProbability * (1 - sentShare()));
    }

    /** Returns the mean number of attempts in flight. */
    public double attemptsInFlight() {
        return attemptsInFlight.value();
    }

    /** Returns the number of periods that have ended. */
    public long periods() {
        return periods;
    }

    /** Returns whether too few periods have ended for the rates to be reliable. */
    public boolean isWarmingUp() {
        return periods < WARM_UP_PERIODS;
    }
}
