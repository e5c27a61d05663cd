package quotagateway.policy.golden;

import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.PolicyActions;

/** Writes every action of a policy to a transcript and forwards it to the node. */
final class RecordedActions implements PolicyActions {
    private final PolicyActions node;
    private final Transcript transcript;
    private final int nodeIndex;

    RecordedActions(PolicyActions node, Transcript transcript, int nodeIndex) {
        this.node = node;
        this.transcript = transcript;
        this.nodeIndex = nodeIndex;
    }

    private Transcript action(String name) {
        return transcript.line(nodeIndex, name);
    }

    @Override
    public void sendAttempt(long requestId, String endpoint, double timeoutAt) {
        action("sendAttempt").add(requestId).add(endpoint).add(timeoutAt);
        node.sendAttempt(requestId, endpoint, timeoutAt);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        action("cancelAttempt").add(requestId).add(attempt);
        node.cancelAttempt(requestId, attempt);
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
        action("reject").add(requestId).add(retryAfterMs);
        node.reject(requestId, retryAfterMs);
    }

    @Override
    public void fail(long requestId) {
        action("fail").add(requestId);
        node.fail(requestId);
    }

    @Override
    public void reject(long requestId, double retryAfterMs, FailureReason reason) {
        action("reject").add(requestId).add(retryAfterMs).add(reason.name());
        node.reject(requestId, retryAfterMs, reason);
    }

    @Override
    public void fail(long requestId, FailureReason reason) {
        action("fail").add(requestId).add(reason.name());
        node.fail(requestId, reason);
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
        action("scheduleTimer").add(delayMs).add(token);
        node.scheduleTimer(delayMs, token);
    }

    @Override
    public void checkHealth(String endpoint) {
        action("checkHealth").add(endpoint);
        node.checkHealth(endpoint);
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        action("addToCounter").add(name).add(amount).add(ttlMs);
        node.addToCounter(name, amount, ttlMs);
    }

    @Override
    public void subscribeToEndpoints() {
        action("subscribeToEndpoints");
        node.subscribeToEndpoints();
    }

    @Override
    public void withdrawQueuedAttempts(String endpoint) {
        action("withdrawQueuedAttempts").add(endpoint);
        node.withdrawQueuedAttempts(endpoint);
    }

    @Override
    public void retainEndpoint(EndpointDescriptor endpoint) {
        action("retainEndpoint")
                .add(endpoint.id())
                .add(endpoint.cell())
                .add(endpoint.zone())
                .add(endpoint.state().name())
                .add(endpoint.kind())
                .add(endpoint.startedAt())
                .add(endpoint.weight())
                .add(endpoint.address());
        node.retainEndpoint(endpoint);
    }

    @Override
    public void releaseEndpoint(String endpoint) {
        action("releaseEndpoint").add(endpoint);
        node.releaseEndpoint(endpoint);
    }
}
