package quotagateway.policy.endpoint;

import java.util.Random;
import java.util.Set;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.slowstart.SlowStartRate;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/**
 * Manages the endpoints that operators have cordoned. A cordoned endpoint gets no new attempts, independent of what
 * the endpoint lists say, until it is uncordoned. Its process may have restarted in the meantime, so an uncordoned
 * endpoint is in slow start and gets a first request soon.
 */
public final class Cordons {
    /** Minimum delay of the first request to an uncordoned endpoint; the actual delay is random. */
    private static final double MIN_FIRST_REQUEST_DELAY_MS = 300;
    /**
     * Maximum delay in a small fleet. Operators expect to see the endpoint used within 5 s; the delay is random so
     * that the gateways do not all send their first request simultaneously.
     */
    private static final double MAX_FIRST_REQUEST_DELAY_MS = 3500;
    /**
     * In a large fleet the delays are spread further, so that about this many first requests arrive in each overload
     * window of the rules.
     */
    private static final double FIRST_REQUESTS_PER_WINDOW = 2;

    private final PolicySettings settings;
    private final EndpointRegistry endpoints;
    private final SlowStartRate slowStartRate;
    private final EventClock clock;
    private final TimerQueue timers;
    private final PolicyActions actions;
    private final Random random;

    public Cordons(
            PolicySettings settings,
            EndpointRegistry endpoints,
            SlowStartRate slowStartRate,
            EventClock clock,
            TimerQueue timers,
            PolicyActions actions,
            Random random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.slowStartRate = slowStartRate;
        this.clock = clock;
        this.timers = timers;
        this.actions = actions;
        this.random = random;
    }

    /**
     * Cordons or uncordons an endpoint. Returns false, without effect, if no list has named the endpoint and it is not
     * cordoned.
     */
    public boolean setCordoned(String id, boolean cordoned) {
        Endpoint endpoint = endpoints.find(id);
        if (endpoint == null || (endpoint.descriptor() == null && !endpoint.isCordoned())) {
            return false;
        }
        apply(endpoint, cordoned);
        return true;
    }

    /** Cordons these endpoints, including the ones that no list has named yet, and uncordons all others. */
    public void replace(Set<String> ids) {
        for (String id : ids) {
            apply(endpoints.findOrCreate(id), true);
        }
        endpoints.known().stream()
                .filter(endpoint -> !ids.contains(endpoint.id()))
                .forEach(endpoint -> apply(endpoint, false));
    }

    private void apply(Endpoint endpoint, boolean cordoned) {
        if (endpoint.isCordoned() == cordoned) {
            return;
        }
        endpoint.setCordoned(cordoned);
        endpoints.updateMembership(endpoint);
        if (cordoned) {
            actions.withdrawQueuedAttempts(endpoint.id());
        } else {
            onUncordoned(endpoint);
        }
    }

    private void onUncordoned(Endpoint endpoint) {
        double now = clock.now();
        endpoint.resetLearnedState();
        endpoint.outlierDetector().reset();
        endpoints.startSlowStart(endpoint, now);
        double fleetSpreadMs = settings.nodeCount() * settings.rules().overloadWindow() / FIRST_REQUESTS_PER_WINDOW;
        double sendIntervalMs = 1 / slowStartRate.sendsPerMs(endpoint.ramp().warmupFraction(now));
        double spreadMs = Math.max(
                MAX_FIRST_REQUEST_DELAY_MS - MIN_FIRST_REQUEST_DELAY_MS, Math.min(fleetSpreadMs, sendIntervalMs));
        double firstRequestAt = now + MIN_FIRST_REQUEST_DELAY_MS + spreadMs * random.nextDouble();
        endpoint.ramp().expectFirstRequestAt(firstRequestAt);
        timers.scheduleWakeUp(firstRequestAt);
    }
}
