package quotagateway.policy.admission;

import java.util.Optional;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.quota.CustomerQuota;
import quotagateway.policy.quota.QuotaResplit;
import quotagateway.policy.retry.RetryPolicy;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/** The life of a request: it waits for quota and an endpoint, is sent, retried where that is allowed, and ends. */
public final class RequestDispatcher {
    /** A retry that finds no endpoint looks again after this: a few of the shortest ticks. */
    private static final double RETRY_INTERVAL_MS = 25;

    private final AdmissionQueue queue = new AdmissionQueue();
    private final AdmissionQueue.Server server = this::offer;
    private final OpenRequests requests;
    private final AttemptSender sender;
    private final RetryPolicy retryPolicy;
    private final QuotaResplit resplit;
    private final EventClock clock;
    private final TimerQueue timers;
    private final PolicySettings settings;

    public RequestDispatcher(
            OpenRequests requests,
            AttemptSender sender,
            RetryPolicy retryPolicy,
            QuotaResplit resplit,
            EventClock clock,
            TimerQueue timers,
            PolicySettings settings) {
        this.requests = requests;
        this.sender = sender;
        this.retryPolicy = retryPolicy;
        this.resplit = resplit;
        this.clock = clock;
        this.timers = timers;
        this.settings = settings;
    }

    /** A new request that may wait. */
    void enqueue(PendingRequest request) {
        resplit.activate(request.customer().quota());
        queue.add(request);
        dispatch();
        if (request.customer().queue().contains(request)) {
            double expiresAt = Math.max(clock.now() + settings.tick(), request.latestStart());
            timers.schedule(expiresAt, () -> onWaitExpired(request));
        }
    }

    /** Sends what may be sent now; called at the end of every event that may have made room. */
    public void dispatch() {
        queue.serve(server);
    }

    private AdmissionQueue.Offer offer(PendingRequest request) {
        CustomerQuota quota = request.customer().quota();
        if (!quota.admits(request)) {
            return AdmissionQueue.Offer.CUSTOMER_BLOCKED;
        }
        Endpoint endpoint = sender.pick(request);
        if (endpoint == null) {
            return AdmissionQueue.Offer.ALL_BLOCKED;
        }
        request.customer().queue().remove(request);
        quota.spend(request.units());
        timers.schedule(request.deadline(), () -> onDeadline(request));
        sender.send(request, endpoint);
        return AdmissionQueue.Offer.SENT;
    }

    /** A streamed response has begun to go to the client. */
    public void onResponseStarted(long id) {
        PendingRequest request = requests.get(id);
        if (request != null) {
            request.startStreaming();
        }
    }

    /** The client has gone, or has cancelled the request. */
    public void onClientDisconnected(long id) {
        PendingRequest request = requests.get(id);
        if (request != null) {
            requests.end(request);
        }
    }

    /**
     * An attempt has ended; one that is not known, or has ended before, changes nothing.
     *
     * @param completed whether the request needs no response any more
     * @param actualUnits units that the request has really used, 0 where nothing is told
     */
    public void onAttemptEnded(
            long id, int number, CallOutcome outcome, double tookMs, boolean completed, int actualUnits) {
        PendingRequest request = requests.get(id);
        if (request == null || !request.attempts().isInFlight(number)) {
            return;
        }
        sender.onEnded(request, request.attempts().get(number), outcome, tookMs);
        CustomerQuota quota = request.customer().quota();
        if (outcome == CallOutcome.OK && actualUnits > 0 && settings.reportsActualUnits()) {
            quota.correctSpending(actualUnits - request.units());
        }
        if (completed || request.isCompleted()) {
            requests.end(request);
        } else if (!request.isInFlight()) {
            retry(request);
        }
        dispatch();
        quota.returnUnusedSlots();
    }

    /** Every attempt has ended without a response: tries elsewhere where that is allowed and of use, or gives up. */
    private void retry(PendingRequest request) {
        Optional<FailureReason> reasonAgainst =
                retryPolicy.reasonAgainst(request.attempts(), request.usefulUntil(), request.deadline(), clock.now());
        if (reasonAgainst.isPresent()) {
            requests.refuse(request, reasonAgainst.get());
            return;
        }
        Endpoint endpoint = sender.pick(request);
        if (endpoint == null) {
            timers.schedule(clock.now() + RETRY_INTERVAL_MS, () -> onRetryDue(request));
        } else {
            sender.send(request, endpoint);
        }
    }

    private void onRetryDue(PendingRequest request) {
        if (!request.isCompleted() && !request.isInFlight()) {
            retry(request);
        }
    }

    private void onWaitExpired(PendingRequest request) {
        if (!request.isCompleted() && request.attempts().isEmpty()) {
            double retriesRejectedUntil = clock.now() + request.requestClass().latencyObjective();
            request.customer().queue().rejectRetriesUntil(retriesRejectedUntil);
            requests.refuse(request, FailureReason.HELD_TOO_LONG);
        }
    }

    private void onDeadline(PendingRequest request) {
        if (!request.isCompleted() && !request.isStreaming()) {
            requests.refuse(request, FailureReason.DEADLINE);
        }
    }
}
