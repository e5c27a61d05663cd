package quotagateway.policy.endpoint;

import java.util.Random;
import java.util.Set;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.slowstart.SlowStartRate;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/**
 * Endpoints that operators cordon: nothing new goes there, whatever the lists say, until the cordon is taken off. The
 * endpoint may have restarted meanwhile, so it is in slow start then, and gets a first request soon.
 */
public final class Cordons {
    /** An uncordoned endpoint gets its first request after a random time between these two. */
    private static final double MIN_FIRST_REQUEST_DELAY_MS = 300;
    /** Operators expect to see it used within 5 s; gateways must not all come at once. */
    private static final double MAX_FIRST_REQUEST_DELAY_MS = 3500;
    /** Many gateways take longer than that: about so many of them come within the rules' window. */
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

    /** Cordons or uncordons an endpoint; false where neither a list nor an operator has ever named it. */
    public boolean set(String id, boolean cordoned) {
        Endpoint endpoint = endpoints.find(id);
        if (endpoint == null || (endpoint.descriptor() == null && !endpoint.isCordoned())) {
            return false;
        }
        apply(endpoint, cordoned);
        return true;
    }

    /** Cordons these endpoints, those too that no list has named yet, and uncordons all others. */
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
            recover(endpoint);
        }
    }

    private void recover(Endpoint endpoint) {
        double now = clock.now();
        endpoint.forgetFormerProcess();
        endpoint.outlierDetector().reset();
        endpoints.startSlowStart(endpoint, now);
        double windows = settings.nodeCount() * settings.rules().overloadWindow() / FIRST_REQUESTS_PER_WINDOW;
        double budgetIntervalMs = 1 / slowStartRate.sendsPerMs(endpoint.ramp().warmupFraction(now));
        double spread =
                Math.max(MAX_FIRST_REQUEST_DELAY_MS - MIN_FIRST_REQUEST_DELAY_MS, Math.min(windows, budgetIntervalMs));
        double firstRequestAt = now + MIN_FIRST_REQUEST_DELAY_MS + spread * random.nextDouble();
        endpoint.ramp().expectFirstRequestAt(firstRequestAt);
        timers.scheduleWakeUp(firstRequestAt);
    }
}
