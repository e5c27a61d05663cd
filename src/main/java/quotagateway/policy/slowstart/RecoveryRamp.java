package quotagateway.policy.slowstart;

import quotagateway.policy.api.ServiceRules;

/**
 * How far one endpoint has warmed up: its capacity grows in a line from the settings' initial share at its start to all
 * of it. That is the least that it can have, by the settings; it may be quicker.
 */
public final class RecoveryRamp {
    private final ServiceRules rules;
    private double startedAt = Double.NEGATIVE_INFINITY;
    /** When an endpoint that was uncordoned is owed its first request; never for the others. */
    private double firstRequestDueAt = Double.MAX_VALUE;

    public RecoveryRamp(ServiceRules rules) {
        this.rules = rules;
    }

    /** The endpoint's process has started at this time; the latest start counts. */
    public void start(double at) {
        startedAt = Math.max(startedAt, at);
    }

    /** The part of its capacity that the endpoint has at the least, 1 when it is warm. */
    public double warmupFraction(double now) {
        double age = now - startedAt;
        return age >= rules.slowStartDuration() ? 1 : fractionAt(age);
    }

    private double fractionAt(double age) {
        double initial = rules.slowStartInitialShare();
        return initial + (1 - initial) * Math.max(0, age) / rules.slowStartDuration();
    }

    public boolean isWarm(double now) {
        return warmupFraction(now) >= 1;
    }

    /** From this time on the endpoint is to be preferred until it gets a request. */
    public void expectFirstRequestAt(double at) {
        firstRequestDueAt = at;
    }

    public boolean isFirstRequestDue(double now) {
        return now >= firstRequestDueAt;
    }

    /** A request was sent there. */
    public void onSend() {
        firstRequestDueAt = Double.MAX_VALUE;
    }
}
