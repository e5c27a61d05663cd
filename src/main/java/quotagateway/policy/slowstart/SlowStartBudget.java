package quotagateway.policy.slowstart;

import quotagateway.policy.api.ServiceRules;

/**
 * The sends that are due to one endpoint in slow start, from this gateway: a credit that grows at a rate. All gateways
 * keep one for each such endpoint, so that together they do not push it over.
 */
public final class SlowStartBudget {
    /**
     * A send that is due but not used lapses after so many times the rules' window: all gateways would have saved one
     * up, and would need it together.
     */
    private static final double UNUSED_KEPT_WINDOWS = 2;

    private final ServiceRules rules;
    private double credit;
    private double updatedAt;

    public SlowStartBudget(ServiceRules rules) {
        this.rules = rules;
    }

    /**
     * Begins anew, when the endpoint has started.
     *
     * @param initialCredit a random part of one send, so that not all gateways send their first together
     */
    public void restart(double initialCredit, double now) {
        credit = initialCredit;
        updatedAt = now;
    }

    /** Whether a send is due by now; the rate held since the last call. */
    public boolean allowsSend(double sendsPerMs, double now) {
        credit += sendsPerMs * (now - updatedAt);
        double kept = sendsPerMs * UNUSED_KEPT_WINDOWS * rules.overloadWindow();
        credit -= Math.max(0, Math.floor(credit - kept));
        updatedAt = now;
        return credit >= 1;
    }

    public void onSend() {
        credit -= 1;
    }
}
