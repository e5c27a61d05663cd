package quotagateway.policy.admission;

import java.util.Comparator;
import java.util.TreeSet;
import quotagateway.policy.quota.QuotaDemand;

/** The requests of one customer: waiting ones, ordered by objective deadline, and the attempts in flight. */
final class CustomerQueue implements QuotaDemand {
    private static final Comparator<PendingRequest> EARLIEST_OBJECTIVE_DEADLINE_FIRST = Comparator.comparingDouble(
                    PendingRequest::objectiveDeadline)
            .thenComparingLong(PendingRequest::sequenceNumber);

    private final TreeSet<PendingRequest> waiting = new TreeSet<>(EARLIEST_OBJECTIVE_DEADLINE_FIRST);
    private double queuedUnits;
    private int attemptsInFlight;
    private double rejectRetriesUntil;
    private double lastArrivalAt;
    private boolean inRotation;

    void add(PendingRequest request) {
        waiting.add(request);
        queuedUnits += request.units();
    }

    /** Removes a request if it is waiting. */
    void remove(PendingRequest request) {
        if (waiting.remove(request)) {
            queuedUnits -= request.units();
        }
    }

    boolean contains(PendingRequest request) {
        return waiting.contains(request);
    }

    /** Returns the request with the earliest objective deadline; the queue must not be empty. */
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
    public double maxLatestStart() {
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

    /** Rejects clients' retries until this time: a request expired in the queue, and a new request earns more. */
    void rejectRetriesUntil(double time) {
        rejectRetriesUntil = time;
    }

    boolean rejectsRetries(double now) {
        return now < rejectRetriesUntil;
    }

    /** Whether this customer is in the round-robin rotation of the admission queue. */
    boolean isInRotation() {
        return inRotation;
    }

    void setInRotation(boolean newState) {
        inRotation = newState;
    }
}
