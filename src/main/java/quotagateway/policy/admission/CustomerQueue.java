package quotagateway.policy.admission;

import java.util.Comparator;
import java.util.TreeSet;
import quotagateway.policy.quota.QuotaDemand;

/** The requests of one customer: those that wait, in the order of how soon they are of no use, and those in flight. */
final class CustomerQueue implements QuotaDemand {
    private static final Comparator<PendingRequest> SOONEST_USELESS_FIRST =
            Comparator.comparingDouble(PendingRequest::usefulUntil).thenComparingLong(PendingRequest::serial);

    private final TreeSet<PendingRequest> waiting = new TreeSet<>(SOONEST_USELESS_FIRST);
    private double queuedUnits;
    private int attemptsInFlight;
    private double rejectRetriesUntil;
    private double lastArrivalAt;
    private boolean inRotation;

    void add(PendingRequest request) {
        waiting.add(request);
        queuedUnits += request.units();
    }

    /** Takes a request out, if it waits. */
    void remove(PendingRequest request) {
        if (waiting.remove(request)) {
            queuedUnits -= request.units();
        }
    }

    boolean contains(PendingRequest request) {
        return waiting.contains(request);
    }

    /** The request that is of no use soonest; there has to be one. */
    PendingRequest first() {
        return waiting.first();
    }

    @Override
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    @Override
    public double queuedUnits() {
        return queuedUnits;
    }

    @Override
    public int firstUnits() {
        return waiting.first().units();
    }

    @Override
    public double lastLatestStart() {
        return waiting.last().latestStart();
    }

    @Override
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    void onAttemptSent() {
        attemptsInFlight++;
    }

    void onAttemptEnded() {
        attemptsInFlight--;
    }

    void onArrival(double now) {
        lastArrivalAt = now;
    }

    double lastArrivalAt() {
        return lastArrivalAt;
    }

    /** A request has waited in vain: retries of clients are rejected until this time, as a fresh request earns more. */
    void rejectRetriesUntil(double time) {
        rejectRetriesUntil = time;
    }

    boolean rejectsRetries(double now) {
        return now < rejectRetriesUntil;
    }

    /** Whether the admission queue serves this one in its turn. */
    boolean isInRotation() {
        return inRotation;
    }

    void setInRotation(boolean newState) {
        inRotation = newState;
    }
}
