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

/**
 * Handles requests from the queue to their end: a request waits for quota and an endpoint, is sent, and is retried
 * where that is allowed.
 */
public final class RequestDispatcher {
    /** Delay before a retry that found no endpoint looks for one again: a few of the shortest timer ticks. */
    private static final double RETRY_INTERVAL_MS = 25;

    private final AdmissionQueue queue = new AdmissionQueue();
    private final AdmissionQueue.RequestSender requestSender = this::trySend;
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

    /** Queues a new request, sends it if possible, and otherwise schedules the end of its wait. */
    void enqueue(PendingRequest request) {
        resplit.activate(request.customer().quota());
        queue.add(request);
        dispatch();
        if (request.customer().queue().contains(request)) {
            double expiresAt = Math.max(clock.now() + settings.timerResolutionMs(), request.latestStart());
            timers.schedule(expiresAt, () -> onWaitExpired(request));
        }
    }

    /** Sends waiting requests; called at the end of every event that may have freed quota or capacity. */
    public void dispatch() {
        queue.sendWaiting(requestSender);
    }

    private AdmissionQueue.SendResult trySend(PendingRequest request) {
        CustomerQuota quota = request.customer().quota();
        if (!quota.tryAdmit(request)) {
            return AdmissionQueue.SendResult.CUSTOMER_BLOCKED;
        }
        Endpoint endpoint = sender.pick(request);
        if (endpoint == null) {
            return AdmissionQueue.SendResult.ALL_BLOCKED;
        }
        request.customer().queue().remove(request);
        quota.spend(request.units());
        if (!request.isArriving()) {
            timers.schedule(request.deadline(), () -> onDeadline(request));
        }
        sender.send(request, endpoint);
        return AdmissionQueue.SendResult.SENT;
    }

    /** Handles the start of a streamed response to the client. */
    public void onResponseStarted(long id) {
        PendingRequest request = requests.get(id);
        if (request != null) {
            request.startStreaming();
        }
    }

    /** Ends a request whose client has disconnected or cancelled it. */
    public void onClientDisconnected(long id) {
        PendingRequest request = requests.get(id);
        if (request != null) {
            requests.end(request);
        }
    }

    /**
     * Handles the end of an attempt. Has no effect if the attempt is unknown or has ended before.
     *
     * @param completed whether the request needs no further response
     * @param actualUnits units that the request has actually used, 0 if not reported
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

    /** Retries a request whose attempts have all ended without a response, or rejects or fails the request. */
    private void retry(PendingRequest request) {
        Optional<FailureReason> denialReason = retryPolicy.denialReason(
                request.attempts(), request.objectiveDeadline(), request.deadline(), clock.now());
        if (denialReason.isPresent()) {
            requests.rejectOrFail(request, denialReason.get());
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
            double rejectUntil = clock.now() + request.requestClass().latencyObjective();
            request.customer().queue().rejectRetriesUntil(rejectUntil);
            requests.rejectOrFail(request, FailureReason.HELD_TOO_LONG);
        }
    }

    private void onDeadline(PendingRequest request) {
        if (!request.isCompleted() && !request.isStreaming()) {
            requests.rejectOrFail(request, FailureReason.DEADLINE);
        }
    }
}
