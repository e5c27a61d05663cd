package quotagateway.policy.slowstart;

import quotagateway.policy.api.ServiceRules;

/**
 * Budgets the sends of this gateway to one endpoint in slow start: a credit that grows at a given rate. Every gateway
 * keeps a budget for each such endpoint, so that the gateways together do not overload it.
 */
public final class SlowStartBudget {
    /**
     * A send that is due but not used lapses after this many overload windows of the rules. Otherwise every gateway
     * would save up a send, and all gateways would spend theirs at the same time.
     */
    private static final double MAX_UNUSED_CREDIT_WINDOWS = 2;

    private final ServiceRules rules;
    private double credit;
    private double updatedAt;

    public SlowStartBudget(ServiceRules rules) {
        this.rules = rules;
    }

    /**
     * Resets the budget when the endpoint has started.
     *
     * @param initialCredit a random fraction of one send, so that the gateways do not all make their first send
     *     simultaneously
     */
    public void restart(double initialCredit, double now) {
        credit = initialCredit;
        updatedAt = now;
    }

    /** Returns whether a send is due now. The given rate applies to the time since the last call. */
    public boolean allowsSend(double sendsPerMs, double now) {
        credit += sendsPerMs * (now - updatedAt);
        double maxCredit = sendsPerMs * MAX_UNUSED_CREDIT_WINDOWS * rules.overloadWindow();
        credit -= Math.max(0, Math.floor(credit - maxCredit));
        updatedAt = now;
        return credit >= 1;
    }

    public void onSend() {
        credit -= 1;
    }
}
