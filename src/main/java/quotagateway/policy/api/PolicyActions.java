package quotagateway.policy.api;

/**
 * The outbound port of a policy: the actions that it requests from its host. The host performs each action after the
 * event that led to the action has returned, and reports the outcome by a separate event.
 */
public interface PolicyActions {
    /**
     * Sends an attempt of a request; the attempts of a request are numbered from 0.
     *
     * @param timeoutAt when (ms of the host's clock) the host ends the attempt as timed out, 0 for no such time
     */
    void sendAttempt(long requestId, String endpoint, double timeoutAt);

    /** Cancels an attempt that is in flight. */
    void cancelAttempt(long requestId, int attempt);

    /**
     * Rejects a request: its final response says that it was not executed.
     *
     * @param retryAfterMs the time after which the client may retry, 0 to name none
     */
    void reject(long requestId, double retryAfterMs);

    /** Fails a request: its final response is an error. */
    void fail(long requestId);

    /** As {@link #reject(long, double)}, with the reason for operators. */
    default void reject(long requestId, double retryAfterMs, FailureReason reason) {
        reject(requestId, retryAfterMs);
    }

    /** As {@link #fail(long)}, with the reason for operators. */
    default void fail(long requestId, FailureReason reason) {
        fail(requestId);
    }

    /** Requests {@link PolicyEvents#onTimer} after a delay. */
    void scheduleTimer(double delayMs, long token);

    /** Asks an endpoint for its load; {@link PolicyEvents#onHealthCheck} reports the outcome. */
    void checkHealth(String endpoint);

    /**
     * Adds to a running total on the shared counter; {@link PolicyEvents#onCounterReply} reports the new total.
     *
     * @param name the name of the total
     * @param ttlMs time to live of a total that this call creates
     */
    void addToCounter(long name, double amount, double ttlMs);

    /** Subscribes to endpoint lists, or requests them again. */
    void subscribeToEndpoints();

    /** Withdraws the attempts that still wait for a connection to this endpoint: they must not be sent to it. */
    default void withdrawQueuedAttempts(String endpoint) {}

    /** Marks an endpoint as in use: connections to it may be opened in advance and kept. */
    default void retainEndpoint(EndpointDescriptor endpoint) {}

    /** Marks an endpoint as no longer in use: idle connections may be closed, attempts in flight may finish. */
    default void releaseEndpoint(String endpoint) {}
}
