package quotagateway.policy.quota;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Re-splits the quotas of active customers among the gateways four times a second: returns units that are not used, and
 * claims the usual demand ahead as far as counter calls may be made. A customer is active while it has requests or had
 * some recently. Waiting requests have already claimed their units.
 */
public final class QuotaResplit {
    private final CounterCalls calls;
    private final Set<CustomerQuota> active = new LinkedHashSet<>();
    private final ArrayDeque<CustomerQuota> waitingForClaim = new ArrayDeque<>();

    public QuotaResplit(CounterCalls calls) {
        this.calls = calls;
    }

    /** Includes a customer whose request waits in the re-split until the customer is idle. */
    public void activate(CustomerQuota quota) {
        active.add(quota);
    }

    /** Takes a customer that is evicted out of the re-split. */
    public void deactivate(CustomerQuota quota) {
        active.remove(quota);
    }

    public boolean isActive(CustomerQuota quota) {
        return active.contains(quota);
    }

    /** Called at the end of every period. */
    public void resplit() {
        waitingForClaim.clear();
        for (Iterator<CustomerQuota> it = active.iterator(); it.hasNext(); ) {
            CustomerQuota quota = it.next();
            if (quota.resplit()) {
                waitingForClaim.add(quota);
            }
            if (quota.isIdle()) {
                it.remove();
            }
        }
        claimAhead();
    }

    /** Claims units for the customers that are short, in turn, while calls may be made. */
    public void claimAhead() {
        while (!waitingForClaim.isEmpty() && calls.mayCall()) {
            CustomerQuota quota = waitingForClaim.poll();
            if (active.contains(quota)) {
                quota.claimAhead();
            }
        }
    }
}
