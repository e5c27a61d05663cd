package quotagateway.policy.admission;

import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.quota.CustomerQuota;
import quotagateway.policy.quota.QuotaContext;
import quotagateway.policy.quota.QuotaResplit;
import quotagateway.policy.timer.EventClock;

/** The customers that have sent requests recently. */
public final class CustomerDirectory {
    /** After this time without a request a customer's quota is assumed to be full, like that of a new customer. */
    private static final double IDLE_TIMEOUT_MS = 30_000;
    /** The most customers at a time, of about a KiB each. */
    private static final int MAX_CUSTOMERS = 8192;

    private final PolicySettings settings;
    private final QuotaContext quotaContext;
    private final QuotaResplit resplit;
    private final EventClock clock;
    private final CustomerTable customers = new CustomerTable(MAX_CUSTOMERS);

    public CustomerDirectory(
            PolicySettings settings, QuotaContext quotaContext, QuotaResplit resplit, EventClock clock) {
        this.settings = settings;
        this.quotaContext = quotaContext;
        this.resplit = resplit;
        this.clock = clock;
    }

    /**
     * Returns the customer of a request, created if necessary, or null if there are too many with open requests. A
     * customer has a separate quota on each plan.
     */
    Customer findOrCreate(IncomingRequest incoming, QuotaPlan plan) {
        String name = incoming.customer() + ' ' + incoming.plan();
        Customer customer = customers.findForRequest(name);
        if (customer == null && (!customers.isFull() || evictOldest())) {
            customer = create(name, incoming, plan);
            customers.add(name, customer);
        }
        return customer;
    }

    /** Evicts the oldest customer without an open request; what is left of its lease stays taken on the counter. */
    private boolean evictOldest() {
        Customer evicted = customers.evictOldest(
                customer -> customer.queue().isEmpty() && customer.quota().hasNothingOpen());
        if (evicted != null) {
            resplit.deactivate(evicted.quota());
        }
        return evicted != null;
    }

    private Customer create(String name, IncomingRequest incoming, QuotaPlan plan) {
        int position = Math.floorMod(settings.nodeIndex() - incoming.firstGateway(), settings.nodeCount());
        CustomerQueue queue = new CustomerQueue();
        return new Customer(
                queue, new CustomerQuota(name, plan, incoming.gatewayCount(), position, quotaContext, queue));
    }

    /** Evicts customers that have sent no request within the idle timeout and have none open. */
    void evictIdle() {
        double now = clock.now();
        customers.removeIf(customer -> now - customer.queue().lastArrivalAt() > IDLE_TIMEOUT_MS
                && !customer.queue().isInRotation()
                && !resplit.isActive(customer.quota()));
    }
}
