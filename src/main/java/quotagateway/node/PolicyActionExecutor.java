package quotagateway.node;

import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.PolicyActions;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.Attempt;

/**
 * Executes the actions of the policy. Actions on a request that has been completed or released meanwhile have no
 * effect. Outcomes are reported to the policy after the event that led to the action, never during it.
 */
final class PolicyActionExecutor implements PolicyActions {
    /** Delay (ms) after which a timer fires again if the policy threw an exception while it handled the timer. */
    private static final double FAILED_TIMER_RETRY_MS = 20;

    private final EventLoopContext loop;
    private final PolicyInvoker policy;
    private final RequestTable requests;
    private final AttemptHandler attemptHandler;
    private final BackendClients backends;

    PolicyActionExecutor(
            EventLoopContext loop,
            PolicyInvoker policy,
            RequestTable requests,
            AttemptHandler attemptHandler,
            BackendClients backends) {
        this.loop = loop;
        this.policy = policy;
        this.requests = requests;
        this.attemptHandler = attemptHandler;
        this.backends = backends;
    }

    @Override
    public void sendAttempt(long requestId, String endpoint, double timeoutAtMs) {
        ActiveRequest request = requests.find(requestId);
        if (request != null) {
            attemptHandler.send(request, endpoint, timeoutAtMs);
        }
    }

    @Override
    public void cancelAttempt(long requestId, int number) {
        ActiveRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        List<Attempt> attempts = request.attempts();
        if (number >= 0 && number < attempts.size()) {
            attemptHandler.cancelAfterEvent(attempts.get(number));
        }
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
        reject(requestId, retryAfterMs, null);
    }

    @Override
    public void reject(long requestId, double retryAfterMs, FailureReason reason) {
        ActiveRequest request = requests.find(requestId);
        if (request != null && !request.isCompleted()) {
            requests.reject(request, retryAfterMs, reason);
        }
    }

    @Override
    public void fail(long requestId) {
        fail(requestId, null);
    }

    @Override
    public void fail(long requestId, FailureReason reason) {
        ActiveRequest request = requests.find(requestId);
        if (request != null && !request.isCompleted()) {
            requests.fail(request, reason);
        }
    }

    /**
     * Schedules the timer again if the policy fails on it: the policy has a single timer, and if an exception lost it,
     * nothing in the policy would become due again.
     */
    @Override
    public void scheduleTimer(double delayMs, long token) {
        double dueAtMs = loop.now() + delayMs;
        loop.schedule(delayMs, () -> {
            if (!policy.deliver(p -> p.onTimer(Math.max(loop.now(), dueAtMs), token))) {
                scheduleTimer(FAILED_TIMER_RETRY_MS, token);
            }
        });
    }

    @Override
    public void checkHealth(String endpoint) {
        backends.endpoints().checkHealth(endpoint);
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        backends.counter().add(name, amount, ttlMs);
    }

    @Override
    public void subscribeToEndpoints() {
        backends.discovery().subscribe();
    }

    @Override
    public void withdrawQueuedAttempts(String endpoint) {
        backends.endpoints().withdraw(endpoint);
    }

    @Override
    public void retainEndpoint(EndpointDescriptor endpoint) {
        backends.endpoints().retain(endpoint);
    }

    @Override
    public void releaseEndpoint(String endpoint) {
        backends.endpoints().release(endpoint);
    }
}
