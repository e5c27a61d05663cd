package quotagateway.policy.endpoint;

import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.ServiceRules;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.health.ConcurrencyLimit;
import quotagateway.policy.health.FailureEstimator;
import quotagateway.policy.health.LatencyEstimator;
import quotagateway.policy.health.OutlierDetector;
import quotagateway.policy.slowstart.RecoveryRamp;
import quotagateway.policy.slowstart.SlowStartBudget;

/**
 * An endpoint as one gateway knows it: its descriptor, the attempts that it has in flight there, and what the gateway
 * has learned of it. Each estimate is kept by a class of its own.
 */
public final class Endpoint {
    private final String id;
    private final Set<Attempt> inFlight = new LinkedHashSet<>(); // the oldest first
    private final LatencyEstimator latency = new LatencyEstimator();
    private final FailureEstimator failures = new FailureEstimator();
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final ConcurrencyLimit concurrencyLimit;
    private final RecoveryRamp ramp;
    private final SlowStartBudget slowStartBudget;
    /** The size of the set, which is read for every endpoint in every choice. */
    private int inFlightCount;

    private EndpointDescriptor descriptor;
    private boolean cordoned;

    /** @param meanObjectiveMs mean latency objective of all request classes */
    Endpoint(String id, ServiceRules rules, double meanObjectiveMs) {
        this.id = id;
        concurrencyLimit = new ConcurrencyLimit(meanObjectiveMs);
        ramp = new RecoveryRamp(rules);
        slowStartBudget = new SlowStartBudget(rules);
    }

    public String id() {
        return id;
    }

    /** What a list last said of it; null for one that was cordoned before any list has named it. */
    public EndpointDescriptor descriptor() {
        return descriptor;
    }

    /** A list names the endpoint anew; returns whether another process is listed than before. */
    boolean describe(EndpointDescriptor listed) {
        boolean restarted = descriptor != null && listed.startedAt() > descriptor.startedAt();
        descriptor = listed;
        return restarted;
    }

    public boolean isCordoned() {
        return cordoned;
    }

    void setCordoned(boolean newState) {
        cordoned = newState;
    }

    /** Begins an attempt there. */
    public Attempt startAttempt(ClassLatency classLatency, double now) {
        Attempt attempt = new Attempt(this, classLatency, now);
        inFlight.add(attempt);
        inFlightCount++;
        slowStartBudget.onSend();
        concurrencyLimit.onSend(now);
        ramp.onSend();
        return attempt;
    }

    void onAttemptEnded(Attempt attempt) {
        inFlight.remove(attempt);
        inFlightCount--;
    }

    public int inFlight() {
        return inFlightCount;
    }

    /** Slowness by the responses so far, or what the oldest attempt in flight already shows. */
    public double slowness(double now) {
        double slowness = latency.slowness(now);
        if (inFlightCount > 0) {
            Attempt oldest = inFlight.iterator().next();
            slowness = Math.max(
                    slowness, (now - oldest.sentAt()) / oldest.classLatency().meanMs() / 2);
        }
        return slowness;
    }

    /** Whether the concurrency limit allows another attempt; on trial there is one at a time. */
    public boolean hasCapacity(double now) {
        return (inFlightCount == 0 || !outlierDetector.isOnTrial())
                && concurrencyLimit.allowsAnother(inFlightCount, now);
    }

    public boolean isEjected(double now) {
        return outlierDetector.isEjected(now);
    }

    /** Its process has started at this time and is to be spared, with a first send due after a random while. */
    void startSlowStart(double startedAt, double now, Random random) {
        if (ramp.isWarm(now)) {
            slowStartBudget.restart(random.nextDouble(), now);
        }
        ramp.start(startedAt);
    }

    /** Nothing that was learned of the process before holds for the one that is there now. */
    void forgetFormerProcess() {
        outlierDetector.onNewProcess();
        latency.reset();
        failures.reset();
    }

    public LatencyEstimator latency() {
        return latency;
    }

    public FailureEstimator failures() {
        return failures;
    }

    public OutlierDetector outlierDetector() {
        return outlierDetector;
    }

    public ConcurrencyLimit concurrencyLimit() {
        return concurrencyLimit;
    }

    public RecoveryRamp ramp() {
        return ramp;
    }

    public SlowStartBudget slowStartBudget() {
        return slowStartBudget;
    }
}
