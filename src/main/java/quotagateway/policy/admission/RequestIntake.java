package quotagateway.policy.admission;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.traffic.TrafficMeter;

/**
 * Takes in new requests: looks up the class, plan and customer of each, and immediately rejects requests that are not
 * worth queueing.
 */
public final class RequestIntake {
    private record ClassState(ClassLatency latency, WaitEstimator waitEstimator) {}

    private final CustomerDirectory customers;
    private final OpenRequests requests;
    private final RequestDispatcher dispatcher;
    private final TrafficMeter traffic;
    private final EventClock clock;
    private final PolicyActions actions;
    private final double marginMs;
    private final Map<String, ClassState> classes = new HashMap<>();
    private final Map<String, QuotaPlan> plans = new HashMap<>();
    private long nextSequenceNumber;

    /** @param marginMs time before a deadline (ms) in which no attempt may begin */
    public RequestIntake(
            PolicySettings settings,
            CustomerDirectory customers,
            OpenRequests requests,
            RequestDispatcher dispatcher,
            TrafficMeter traffic,
            EventClock clock,
            PolicyActions actions,
            double marginMs) {
        this.customers = customers;
        this.requests = requests;
        this.dispatcher = dispatcher;
        this.traffic = traffic;
        this.clock = clock;
        this.actions = actions;
        this.marginMs = marginMs;
        settings.requestClasses()
                .forEach(each ->
                        classes.put(each.name(), new ClassState(new ClassLatency(each), new WaitEstimator(each))));
        settings.plans().forEach(plan -> plans.put(plan.name(), plan));
    }

    /** Handles a new request: rejects, sends or queues it. */
    public void onRequest(IncomingRequest incoming) {
        ClassState state = classes.get(incoming.requestClass());
        QuotaPlan plan = plans.get(incoming.plan());
        if (state == null || plan == null) {
            actions.reject(incoming.id(), 0, FailureReason.NOT_IN_SETTINGS); // no quota can be enforced for it
            return;
        }
        Customer customer = customers.findOrCreate(incoming, plan);
        if (customer == null) {
            actions.reject(incoming.id(), 0, FailureReason.QUOTA_SHORT);
            return;
        }
        customer.queue().onArrival(clock.now());
        customer.quota().onRequest(incoming.units());
        traffic.onRequest();
        double objectiveMs = state.latency().requestClass().latencyObjective();
        double earlierWaitMs = state.waitEstimator().recordAndEstimateWait(incoming.clientTimeout());
        if (incoming.retry() || earlierWaitMs > 0) {
            traffic.onClientRetry();
        }
        double remainingObjectiveMs = objectiveMs - earlierWaitMs;
        boolean isWithinObjective = remainingObjectiveMs > 0;
        PendingRequest request = new PendingRequest(
                incoming,
                customer,
                state.latency(),
                clock.now(),
                isWithinObjective ? remainingObjectiveMs : objectiveMs,
                marginMs,
                nextSequenceNumber++);
        requests.add(request);
        if ((incoming.retry() && customer.queue().rejectsRetries(clock.now()))
                || (!isWithinObjective && !customer.quota().hasAmpleQuota())) {
            requests.rejectOrFail(request, FailureReason.QUOTA_SHORT);
        } else {
            dispatcher.enqueue(request);
        }
    }

    /** Evicts customers that have sent no request recently and have none open; called periodically. */
    public void evictIdleCustomers() {
        customers.evictIdle();
    }
}
