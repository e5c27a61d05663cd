package quotagateway.policy.testing;

import java.util.ArrayList;
import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.PolicyActions;

/** Records every action as a line of text. */
public final class RecordingActions implements PolicyActions {
    private final List<String> lines = new ArrayList<>();
    private final List<Long> counterNames = new ArrayList<>();

    /** Returns the actions since the last call. */
    public List<String> take() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }

    /** Returns the names of the counter calls since the last call of this method. */
    public List<Long> takeCounterNames() {
        List<Long> taken = List.copyOf(counterNames);
        counterNames.clear();
        return taken;
    }

    @Override
    public void sendAttempt(long requestId, String endpoint, double timeoutAt) {
        lines.add("send " + requestId + " " + endpoint);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        lines.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
        lines.add("reject " + requestId + " " + retryAfterMs);
    }

    @Override
    public void reject(long requestId, double retryAfterMs, FailureReason reason) {
        lines.add("reject " + requestId + " " + retryAfterMs + " " + reason);
    }

    @Override
    public void fail(long requestId) {
        lines.add("fail " + requestId);
    }

    @Override
    public void fail(long requestId, FailureReason reason) {
        lines.add("fail " + requestId + " " + reason);
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
        lines.add("timer " + delayMs);
    }

    @Override
    public void checkHealth(String endpoint) {
        lines.add("check " + endpoint);
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        lines.add("add " + amount);
        counterNames.add(name);
    }

    @Override
    public void subscribeToEndpoints() {
        lines.add("subscribe");
    }

    @Override
    public void withdrawQueuedAttempts(String endpoint) {
        lines.add("withdraw " + endpoint);
    }

    @Override
    public void retainEndpoint(EndpointDescriptor endpoint) {
        lines.add("retain " + endpoint.id());
    }

    @Override
    public void releaseEndpoint(String endpoint) {
        lines.add("release " + endpoint);
    }
}
