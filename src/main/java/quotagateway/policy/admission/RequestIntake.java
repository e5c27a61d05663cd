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

/** Where requests come in: finds class, plan and customer of each, and rejects at once what is not worth a wait. */
public final class RequestIntake {
    private record ClassState(ClassLatency latency, WaitEstimator waits) {}

    private final CustomerDirectory customers;
    private final OpenRequests requests;
    private final RequestDispatcher dispatcher;
    private final TrafficMeter traffic;
    private final EventClock clock;
    private final PolicyActions actions;
    private final double marginMs;
    private final Map<String, ClassState> classes = new HashMap<>();
    private final Map<String, QuotaPlan> plans = new HashMap<>();
    private long nextSerial;

    /** @param marginMs time before a deadline in which nothing is begun any more */
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

    /** A request has come: it is rejected, or sent, or waits. */
    public void onRequest(IncomingRequest incoming) {
        ClassState state = classes.get(incoming.requestClass());
        QuotaPlan plan = plans.get(incoming.plan());
        if (state == null || plan == null) {
            actions.reject(incoming.id(), 0, FailureReason.NOT_IN_SETTINGS); // no quota can be kept for it
            return;
        }
        Customer customer = customers.find(incoming, plan);
        customer.queue().onArrival(clock.now());
        customer.quota().onRequest(incoming.units());
        traffic.onRequest();
        double objectiveMs = state.latency().requestClass().latencyObjective();
        double waitedBeforeMs = state.waits().waitedBefore(incoming.clientTimeout());
        if (incoming.retry() || waitedBeforeMs > 0) {
            traffic.onRepeat();
        }
        double usefulMs = objectiveMs - waitedBeforeMs;
        boolean isUseful = usefulMs > 0;
        PendingRequest request = new PendingRequest(
                incoming,
                customer,
                state.latency(),
                clock.now(),
                isUseful ? usefulMs : objectiveMs,
                marginMs,
                nextSerial++);
        requests.add(request);
        if ((incoming.retry() && customer.queue().rejectsRetries(clock.now()))
                || (!isUseful && !customer.quota().hasPlenty())) {
            requests.refuse(request, FailureReason.QUOTA_SHORT);
        } else {
            dispatcher.enqueue(request);
        }
    }

    /** Called now and then: forgets customers that had no request for a while and have none open. */
    public void forgetIdleCustomers() {
        customers.forgetIdle();
    }
}
