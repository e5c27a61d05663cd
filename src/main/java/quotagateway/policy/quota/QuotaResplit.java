package quotagateway.policy.quota;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The design page's re-split, four times a second, for the customers that hold requests or had some lately: returns
 * what is not used, and claims ahead what is usual, as far as calls to the counter are to be had. Requests that wait
 * have claimed before.
 */
public final class QuotaResplit {
    private final CounterCalls calls;
    private final Set<CustomerQuota> active = new LinkedHashSet<>();
    private final ArrayDeque<CustomerQuota> waitingForCall = new ArrayDeque<>();

    public QuotaResplit(CounterCalls calls) {
        this.calls = calls;
    }

    /** A request of this customer waits: it takes part from now on, until it is idle. */
    public void activate(CustomerQuota quota) {
        active.add(quota);
    }

    public boolean isActive(CustomerQuota quota) {
        return active.contains(quota);
    }

    /** Called at the end of every period. */
    public void resplit() {
        waitingForCall.clear();
        for (Iterator<CustomerQuota> it = active.iterator(); it.hasNext(); ) {
            CustomerQuota quota = it.next();
            if (quota.resplit()) {
                waitingForCall.add(quota);
            }
            if (quota.isIdle()) {
                it.remove();
            }
        }
        claimAhead();
    }

    /** Claims for those that are short, in turn, while calls may be made. */
    public void claimAhead() {
        while (!waitingForCall.isEmpty() && calls.mayCall()) {
            waitingForCall.poll().claimAhead();
        }
    }
}
