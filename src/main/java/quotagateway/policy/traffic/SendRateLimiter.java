package quotagateway.policy.traffic;

import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.ResplitSchedule;
import quotagateway.policy.timer.TimerQueue;

/**
 * Limits the rate of the attempts, including retries, that this gateway sends to all endpoints together. It is a token
 * bucket with an adaptive rate: responses in time raise the rate and late attempts lower it (additive increase,
 * multiplicative decrease). If all endpoints are equally late, the concurrency limit of each endpoint sees too few
 * responses to react.
 */
public final class SendRateLimiter {
    /** An attempt counts as late beyond this fraction of its latency objective. */
    public static final double LATE_OBJECTIVE_FRACTION = 1.0 / 2;
    /**
     * Smallest step of the rate for each response, as a fraction of the request rate: about thirty steps make up the
     * request rate.
     */
    private static final double MIN_STEP = 0.03;
    /**
     * Largest step, for a gateway with few responses, so that its rate falls and rises as quickly as that of the
     * others.
     */
    private static final double MAX_STEP = 0.25;
    /**
     * Number of steps down for a late attempt. With three steps down and one up, the rate falls if more than a quarter
     * of the attempts are late.
     */
    private static final int STEPS_PER_LATE_ATTEMPT = 3;
    /**
     * Minimum rate in sends per second: without any sends, the gateway would not notice that endpoints have recovered.
     */
    private static final double MIN_RATE_PER_SECOND = 0.1;
    /** Minimum rate as a fraction of the request rate. */
    private static final double MIN_FRACTION_OF_REQUEST_RATE = 1.0 / 8;
    /** Maximum rate as a multiple of the request rate; retries are sends too. */
    private static final double MAX_SENDS_PER_REQUEST = 2;
    /** Minimum burst of the token bucket, for gateways that send less than that in a re-split period. */
    private static final double MIN_BURST = 2;
    /** Number of attempts at each endpoint that the initial rate allows all gateways together to have in flight. */
    private static final double INITIAL_IN_FLIGHT_PER_ENDPOINT = 2;
    /** Before there are measurements, responses are assumed to take the latency objective divided by this. */
    private static final double INITIAL_LATENCY_DIVISOR = 8;

    private final PolicySettings settings;
    private final LatencyObjectives objectives;
    private final EventClock clock;
    private final TimerQueue timers;
    private final TrafficMeter traffic;
    /** Attempts per second, including retries, that this gateway may at present send to all endpoints together. */
    private double ratePerSecond;

    private double permits;
    private double refilledAt;
    private double wakeUpAt;

    public SendRateLimiter(
            PolicySettings settings,
            LatencyObjectives objectives,
            EventClock clock,
            TimerQueue timers,
            TrafficMeter traffic) {
        this.settings = settings;
        this.objectives = objectives;
        this.clock = clock;
        this.timers = timers;
        this.traffic = traffic;
    }

    /** Returns the number of sends per second that are allowed at present. */
    public double ratePerSecond() {
        return ratePerSecond;
    }

    /** Returns whether the rate allows all requests to be sent, which means that the endpoints are not overloaded. */
    public boolean isAboveDemand() {
        return ratePerSecond >= traffic.requestsPerSecond();
    }

    /**
     * Raises the rate to this gateway's share of the load that this many endpoints are assumed to handle. Called
     * before there are measured rates.
     */
    public void initializeRate(long endpoints) {
        ratePerSecond = Math.max(
                ratePerSecond,
                1000.0
                        * INITIAL_IN_FLIGHT_PER_ENDPOINT
                        * endpoints
                        / settings.nodeCount()
                        / (objectives.meanMs() / INITIAL_LATENCY_DIVISOR));
        permits = burst();
    }

    /** Returns whether an attempt may be sent now; if not, schedules an event for the time when one may be sent. */
    public boolean hasPermit() {
        double now = clock.now();
        permits = Math.min(burst(), permits + ratePerSecond * (now - refilledAt) / 1000);
        refilledAt = now;
        if (permits < 1 && now >= wakeUpAt) {
            wakeUpAt = now + Math.max(settings.timerResolutionMs(), (1 - permits) / ratePerSecond * 1000);
            timers.scheduleWakeUp(wakeUpAt);
        }
        return permits >= 1;
    }

    private double burst() {
        return Math.max(MIN_BURST, ratePerSecond * ResplitSchedule.PERIOD_MS / 1000);
    }

    /** Uses up a permit for an attempt that was sent. */
    public void onSend() {
        permits--;
    }

    /** Raises the rate after a response that has come in time. */
    public void onTimelyResponse() {
        setRate(ratePerSecond + step() * traffic.requestsPerSecond());
    }

    /** Lowers the rate after an attempt has become late. The attempt counts once, even if it ends later still. */
    public void onLateAttempt() {
        setRate(ratePerSecond * Math.pow(1 - step(), STEPS_PER_LATE_ATTEMPT));
    }

    private double step() {
        return Math.max(MIN_STEP, Math.min(MAX_STEP, 1 / Math.max(1, traffic.requestsPerSecond())));
    }

    private void setRate(double rate) {
        double requests = traffic.requestsPerSecond();
        double maxRate = traffic.isWarmingUp() ? rate : Math.max(1, MAX_SENDS_PER_REQUEST * requests);
        ratePerSecond = Math.max(
                Math.max(MIN_RATE_PER_SECOND, MIN_FRACTION_OF_REQUEST_RATE * requests), Math.min(rate, maxRate));
    }
}
