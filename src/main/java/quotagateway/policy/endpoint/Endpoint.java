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
import quotagateway.policy.slowstart.SlowStartBudget;
import quotagateway.policy.slowstart.SlowStartRamp;

/**
 * An endpoint as seen by one gateway: its descriptor, the gateway's attempts in flight there, and the estimates that
 * the gateway has made from past attempts. Each estimate is kept by a class of its own.
 */
public final class Endpoint {
    private final String id;
    private final Set<Attempt> inFlight = new LinkedHashSet<>(); // oldest first
    private final LatencyEstimator latency = new LatencyEstimator();
    private final FailureEstimator failures = new FailureEstimator();
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final ConcurrencyLimit concurrencyLimit;
    private final SlowStartRamp ramp;
    private final SlowStartBudget slowStartBudget;
    /**
     * The size of {@link #inFlight}, in a field of its own because every routing decision reads it for every endpoint.
     */
    private int inFlightCount;

    private EndpointDescriptor descriptor;
    private boolean cordoned;

    /** @param meanObjectiveMs mean latency objective of all request classes */
    Endpoint(String id, ServiceRules rules, double meanObjectiveMs) {
        this.id = id;
        concurrencyLimit = new ConcurrencyLimit(meanObjectiveMs);
        ramp = new SlowStartRamp(rules);
        slowStartBudget = new SlowStartBudget(rules);
    }

    public String id() {
        return id;
    }

    /**
     * Returns the most recent descriptor from a list, or null if the endpoint was cordoned before any list named it.
     */
    public EndpointDescriptor descriptor() {
        return descriptor;
    }

    /** Stores a descriptor from a list. Returns whether it describes a later process than the previous descriptor. */
    boolean updateDescriptor(EndpointDescriptor listed) {
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

    /** Starts an attempt at this endpoint. */
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

    /**
     * Returns the slowness according to past responses or to the age of the oldest attempt in flight, whichever is
     * greater.
     */
    public double slowness(double now) {
        double slowness = latency.slowness(now);
        if (inFlightCount > 0) {
            Attempt oldest = inFlight.iterator().next();
            slowness = Math.max(
                    slowness, (now - oldest.sentAt()) / oldest.classLatency().meanMs() / 2);
        }
        return slowness;
    }

    /** Returns whether the concurrency limit allows another attempt; on probation only one may be in flight. */
    public boolean hasCapacity(double now) {
        return (inFlightCount == 0 || !outlierDetector.isOnProbation())
                && concurrencyLimit.allowsAnother(inFlightCount, now);
    }

    public boolean isEjected(double now) {
        return outlierDetector.isEjected(now);
    }

    /**
     * Puts the endpoint into slow start because its process started at {@code startedAt}. Unless the endpoint is in
     * slow start already, its first send becomes due after a random delay.
     */
    void startSlowStart(double startedAt, double now, Random random) {
        if (ramp.isWarm(now)) {
            slowStartBudget.restart(random.nextDouble(), now);
        }
        ramp.start(startedAt);
    }

    /**
     * Discards the latency, failure and ejection state, which describes the previous process and not the current one.
     */
    void resetLearnedState() {
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

    public SlowStartRamp ramp() {
        return ramp;
    }

    public SlowStartBudget slowStartBudget() {
        return slowStartBudget;
    }
}
