package quotagateway.policy;

import java.util.List;
import java.util.Random;
import java.util.Set;
import quotagateway.policy.admission.AttemptSender;
import quotagateway.policy.admission.CustomerDirectory;
import quotagateway.policy.admission.OpenRequests;
import quotagateway.policy.admission.RequestDispatcher;
import quotagateway.policy.admission.RequestIntake;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.endpoint.Cordons;
import quotagateway.policy.endpoint.DiscoverySubscription;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.quota.CounterCallWindow;
import quotagateway.policy.quota.CounterCalls;
import quotagateway.policy.quota.CustomerQuota;
import quotagateway.policy.quota.QuotaContext;
import quotagateway.policy.quota.QuotaResplit;
import quotagateway.policy.retry.IdempotencyRule;
import quotagateway.policy.retry.RetryPolicy;
import quotagateway.policy.routing.EndpointPicker;
import quotagateway.policy.routing.OutcomeRecorder;
import quotagateway.policy.slowstart.FleetSizeEstimator;
import quotagateway.policy.slowstart.SlowStartRate;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.ResplitSchedule;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/**
 * Makes all decisions of one gateway: which requests their quotas admit, when and to which endpoint they are sent, and
 * which are retried. It wires up the modules of the subpackages. Equal events lead to equal actions.
 *
 * <p>Every event is handled in the same steps: the clock advances, timers that are due run, the event is passed to the
 * module that it concerns, and waiting requests are dispatched if the event may have freed quota or capacity for them.
 */
public final class Policy implements PolicyEvents {
    /** Attempts must begin at least this many ticks of the host's timers before a deadline. */
    private static final int DEADLINE_MARGIN_TIMER_TICKS = 2;
    /** Unused state is evicted once in this many re-splits, because that scans all customers and endpoints. */
    private static final int RESPLITS_PER_CLEANUP = 64;

    private final EventClock clock;
    private final TimerQueue timers;
    private final ResplitSchedule schedule;
    private final TrafficMeter traffic = new TrafficMeter();
    private final SendRateLimiter limiter;
    private final EndpointRegistry endpoints;
    private final Cordons cordons;
    private final DiscoverySubscription discovery;
    private final CounterCalls counterCalls;
    private final QuotaResplit resplit;
    private final RequestDispatcher dispatcher;
    private final RequestIntake intake;

    /**
     * Creates a policy and starts it: schedules the first re-split and subscribes to endpoint lists if required.
     *
     * @param settings the settings of this gateway's policy
     * @param seed the seed of all random draws
     * @param now the time of the host's clock (ms)
     * @param actions receives the actions of the policy
     */
    public Policy(PolicySettings settings, long seed, double now, PolicyActions actions) {
        Random random = new Random(seed);
        LatencyObjectives objectives = LatencyObjectives.of(settings.requestClasses());
        double marginMs = DEADLINE_MARGIN_TIMER_TICKS * settings.timerResolutionMs();
        clock = new EventClock(now);
        timers = new TimerQueue(clock, actions);
        schedule = new ResplitSchedule(settings);
        limiter = new SendRateLimiter(settings, objectives, clock, timers, traffic);

        FleetSizeEstimator fleetSize = new FleetSizeEstimator();
        SlowStartRate slowStartRate = new SlowStartRate(settings.rules(), traffic, limiter, fleetSize);
        endpoints = new EndpointRegistry(settings, objectives, clock, actions, random, fleetSize);
        cordons = new Cordons(settings, endpoints, slowStartRate, clock, timers, actions, random);
        discovery = new DiscoverySubscription(settings.mustSubscribe(), clock, timers, actions, random);

        counterCalls = new CounterCalls(actions, clock, new CounterCallWindow(settings, clock, timers, random));
        resplit = new QuotaResplit(counterCalls);
        QuotaContext quotaContext = new QuotaContext(
                settings,
                objectives,
                clock,
                timers,
                schedule,
                limiter,
                traffic,
                counterCalls,
                QuotaContext.newAverageGrantRatio());
        CustomerDirectory customers = new CustomerDirectory(settings, quotaContext, resplit, clock);

        IdempotencyRule idempotency = new IdempotencyRule(marginMs);
        RetryPolicy retryPolicy =
                new RetryPolicy(idempotency, settings.capabilities().maxAttempts(), marginMs);
        EndpointPicker picker = new EndpointPicker(endpoints, idempotency, slowStartRate, clock, random);
        OutcomeRecorder outcomes = new OutcomeRecorder(endpoints, limiter, clock);
        AttemptSender sender = new AttemptSender(endpoints, picker, outcomes, limiter, traffic, clock, timers, actions);
        OpenRequests requests = new OpenRequests(settings.capabilities(), idempotency, traffic, actions);
        dispatcher = new RequestDispatcher(requests, sender, retryPolicy, resplit, clock, timers, settings);
        intake = new RequestIntake(settings, customers, requests, dispatcher, traffic, clock, actions, marginMs);

        scheduleResplit();
        discovery.start();
    }

    private void beginEvent(double time) {
        clock.advanceTo(time);
        timers.runDue();
    }

    // ---- the re-split ----

    private void scheduleResplit() {
        timers.schedule(schedule.nextAfter(clock.now()), this::onResplit);
    }

    private void onResplit() {
        scheduleResplit();
        traffic.endPeriod();
        endpoints.endPeriod(traffic.attemptsInFlight());
        resplit.resplit();
        if (traffic.periods() % RESPLITS_PER_CLEANUP == 0) {
            intake.evictIdleCustomers();
            endpoints.evictFormerMembers();
        }
    }

    // ---- endpoints ----

    @Override
    public void onEndpoints(double now, List<EndpointDescriptor> listed, boolean complete) {
        beginEvent(now);
        endpoints.update(listed, complete);
        onListChanged(complete);
    }

    @Override
    public void onEndpointListStarted(double now) {
        beginEvent(now);
        endpoints.beginList();
    }

    @Override
    public void onEndpointListCompleted(double now) {
        beginEvent(now);
        endpoints.endList();
        onListChanged(true);
    }

    private void onListChanged(boolean complete) {
        endpoints.refresh(complete, traffic.attemptsInFlight());
        if (traffic.isWarmingUp() && endpoints.hasEndpointUp()) {
            limiter.initializeRate(endpoints.uncordonedUpCount());
        }
        dispatcher.dispatch();
    }

    @Override
    public void onDiscoveryFailed(double now) {
        beginEvent(now);
        discovery.onFailed();
    }

    @Override
    public boolean setCordoned(double now, String endpoint, boolean cordoned) {
        beginEvent(now);
        boolean known = cordons.setCordoned(endpoint, cordoned);
        if (known) {
            dispatcher.dispatch();
        }
        return known;
    }

    @Override
    public void replaceCordons(double now, Set<String> cordoned) {
        beginEvent(now);
        cordons.replace(cordoned);
        dispatcher.dispatch();
    }

    @Override
    public int endpointCount() {
        return endpoints.size();
    }

    @Override
    public int unavailableEndpointCount(double now) {
        return endpoints.unavailableCount(now);
    }

    // ---- requests ----

    @Override
    public void onRequest(double now, IncomingRequest request) {
        beginEvent(now);
        intake.onRequest(request);
    }

    @Override
    public void onResponseStarted(double now, long requestId, int attempt) {
        beginEvent(now);
        dispatcher.onResponseStarted(requestId);
    }

    @Override
    public void onAttemptEnded(
            double now,
            long requestId,
            int attempt,
            CallOutcome outcome,
            double tookMs,
            boolean completed,
            int actualUnits,
            double[] load) {
        beginEvent(now);
        dispatcher.onAttemptEnded(requestId, attempt, outcome, tookMs, completed, actualUnits);
    }

    @Override
    public void onClientDisconnected(double now, long requestId) {
        beginEvent(now);
        dispatcher.onClientDisconnected(requestId);
    }

    // ---- timers and the shared counter ----

    @Override
    public void onTimer(double now, long token) {
        boolean last = timers.isLastArmed(now); // only the timer that was armed last may arm the next one
        beginEvent(now);
        dispatcher.dispatch();
        if (last) {
            timers.arm();
        }
    }

    @Override
    public void onCounterReply(double now, long name, CallOutcome outcome, double tookMs, double total) {
        beginEvent(now);
        CustomerQuota quota = counterCalls.onReply(name, outcome, tookMs, total);
        if (quota != null) {
            dispatcher.dispatch();
            quota.returnUnusedSlots();
            resplit.claimAhead();
        }
    }
}
