package quotagateway.policy.slowstart;

import quotagateway.policy.api.ServiceRules;

/**
 * Tracks the warm-up of one endpoint: its capacity grows linearly from the initial share in the settings, at the start
 * of its process, to the full capacity. By the settings this is the least capacity that the endpoint has; it may warm
 * up faster.
 */
public final class SlowStartRamp {
    private final ServiceRules rules;
    private double startedAt = Double.NEGATIVE_INFINITY;
    /** When the first request to an uncordoned endpoint is due; never for other endpoints. */
    private double firstRequestDueAt = Double.MAX_VALUE;

    public SlowStartRamp(ServiceRules rules) {
        this.rules = rules;
    }

    /** Starts the ramp for a process that started at this time; the latest start counts. */
    public void start(double at) {
        startedAt = Math.max(startedAt, at);
    }

    /** Returns the fraction of its capacity that the endpoint has at least, 1 when it is warm. */
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

    /** Makes the endpoint preferred from this time on until it gets a request. */
    public void expectFirstRequestAt(double at) {
        firstRequestDueAt = at;
    }

    public boolean isFirstRequestDue(double now) {
        return now >= firstRequestDueAt;
    }

    /** Called when a request was sent to the endpoint. */
    public void onSend() {
        firstRequestDueAt = Double.MAX_VALUE;
    }
}
