package quotagateway.policy.traffic;

import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.ResplitSchedule;
import quotagateway.policy.timer.TimerQueue;

/**
 * Bounds what this gateway sends to all endpoints together, retries included, as a token bucket whose rate is adapted:
 * up with responses in time, down with attempts that become late (additive increase, multiplicative decrease). Where
 * all endpoints are late alike, the concurrency limit of each sees too few responses to notice.
 */
public final class SendRateLimiter {
    /** An attempt counts as late beyond this part of its latency objective. */
    public static final double LATE_PART_OF_OBJECTIVE = 1.0 / 2;
    /** Least step of the rate for each response, as a part of the requests a second: about thirty make the whole. */
    private static final double MIN_STEP = 0.03;
    /** Largest step, for a gateway with few responses: it is to be as quick down and up again as the others. */
    private static final double MAX_STEP = 0.25;
    /** Steps down for a late attempt: at three for one up, the rate falls where more than a quarter are late. */
    private static final int LATE_STEPS = 3;
    /** Sends a second at the least: without any, it would not show when endpoints do better. */
    private static final double MIN_RATE = 0.1;
    /** And at the least this part of what is asked for. */
    private static final double MIN_SHARE_OF_REQUESTS = 1.0 / 8;
    /** At the most so many times what is asked for: retries are sends too. */
    private static final double MAX_PER_REQUEST = 2;
    /** Burst of the bucket at the least, for gateways that send less than that in a re-split period. */
    private static final double MIN_BURST = 2;
    /** Attempts at first that all gateways together may have in flight at each endpoint. */
    private static final double INITIAL_IN_FLIGHT = 2;
    /** Until seen, responses are taken to come within this part of the latency objective. */
    private static final double INITIAL_LATENCY_DIVISOR = 8;

    private final PolicySettings settings;
    private final LatencyObjectives objectives;
    private final EventClock clock;
    private final TimerQueue timers;
    private final TrafficMeter traffic;
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

    /** Sends a second that are allowed at present. */
    public double ratePerSecond() {
        return ratePerSecond;
    }

    /** Whether all that is asked for may be sent: endpoints are not pressed. */
    public boolean isAboveDemand() {
        return ratePerSecond >= traffic.requestsPerSecond();
    }

    /** Before there are measured rates: allows what so many endpoints bear, for this gateway's part. */
    public void startWith(long endpoints) {
        ratePerSecond = Math.max(
                ratePerSecond,
                1000.0
                        * INITIAL_IN_FLIGHT
                        * endpoints
                        / settings.nodeCount()
                        / (objectives.meanMs() / INITIAL_LATENCY_DIVISOR));
        permits = burst();
    }

    /** Whether an attempt may be sent now; if not, there will be an event when one may. */
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

    /** An attempt was sent: it uses up a permit. */
    public void onSend() {
        permits--;
    }

    /** A response has come within the time for it. */
    public void onTimelyResponse() {
        setRate(ratePerSecond + step() * traffic.requestsPerSecond());
    }

    /** An attempt has become late. It is counted once, though it may end later still. */
    public void onLateAttempt() {
        setRate(ratePerSecond * Math.pow(1 - step(), LATE_STEPS));
    }

    private double step() {
        return Math.max(MIN_STEP, Math.min(MAX_STEP, 1 / Math.max(1, traffic.requestsPerSecond())));
    }

    private void setRate(double rate) {
        double requests = traffic.requestsPerSecond();
        double upper = traffic.isWarmingUp() ? rate : Math.max(1, MAX_PER_REQUEST * requests);
        ratePerSecond = Math.max(Math.max(MIN_RATE, MIN_SHARE_OF_REQUESTS * requests), Math.min(rate, upper));
    }
}
