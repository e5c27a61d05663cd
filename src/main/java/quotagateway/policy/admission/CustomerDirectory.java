package quotagateway.policy.admission;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.quota.CustomerQuota;
import quotagateway.policy.quota.QuotaContext;
import quotagateway.policy.quota.QuotaResplit;
import quotagateway.policy.timer.EventClock;

/** The customers that had requests lately. */
public final class CustomerDirectory {
    /** After this without a request a customer's quota is taken to be full, as that of a new one. */
    private static final double FORGET_AFTER_MS = 30_000;

    private final PolicySettings settings;
    private final QuotaContext quotaContext;
    private final QuotaResplit resplit;
    private final EventClock clock;
    private final Map<String, Customer> customers = new HashMap<>();

    public CustomerDirectory(
            PolicySettings settings, QuotaContext quotaContext, QuotaResplit resplit, EventClock clock) {
        this.settings = settings;
        this.quotaContext = quotaContext;
        this.resplit = resplit;
        this.clock = clock;
    }

    /** The customer of a request on its plan; on another plan it has another quota. */
    Customer find(IncomingRequest incoming, QuotaPlan plan) {
        String name = incoming.customer() + ' ' + incoming.plan();
        Customer customer = customers.get(name);
        if (customer == null) {
            customer = create(name, incoming, plan);
            customers.put(name, customer);
        }
        return customer;
    }

    private Customer create(String name, IncomingRequest incoming, QuotaPlan plan) {
        int position = Math.floorMod(settings.nodeIndex() - incoming.firstGateway(), settings.nodeCount());
        CustomerQueue queue = new CustomerQueue();
        return new Customer(
                queue, new CustomerQuota(name, plan, incoming.gatewayCount(), position, quotaContext, queue));
    }

    /** Forgets customers that had no request for a while and have none open. */
    void forgetIdle() {
        double now = clock.now();
        customers
                .values()
                .removeIf(customer -> now - customer.queue().lastArrivalAt() > FORGET_AFTER_MS
                        && !customer.queue().isInRotation()
                        && !resplit.isActive(customer.quota()));
    }
}
