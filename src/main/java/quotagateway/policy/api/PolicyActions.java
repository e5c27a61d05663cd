package quotagateway.policy.api;

/**
 * What a policy asks of its host: the port through which its decisions go out. The host carries each action out after
 * the event that led to it has returned, and tells its outcome by an event of its own.
 */
public interface PolicyActions {
    /**
     * Sends an attempt of a request; the attempts of a request are numbered from 0.
     *
     * @param until when (ms of the host's clock) the host ends the attempt as timed out, 0 for no time of its own
     */
    void sendAttempt(long requestId, String endpoint, double until);

    /** Cancels an attempt that is in flight. */
    void cancelAttempt(long requestId, int attempt);

    /**
     * Rejects a request: its final response says that it was not executed.
     *
     * @param retryAfterMs when the client may come again, 0 where nothing is said of that
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

    /** Asks for {@link PolicyEvents#onTimer} after a delay. */
    void scheduleTimer(double delayMs, long token);

    /** Asks an endpoint for its load; {@link PolicyEvents#onHealthCheck} tells what came of it. */
    void checkHealth(String endpoint);

    /**
     * Adds to a running total on the shared counter; {@link PolicyEvents#onCounterReply} tells the new one.
     *
     * @param name of the total
     * @param keepForMs how long a total that this call creates is kept
     */
    void addToCounter(long name, double amount, double keepForMs);

    /** Subscribes to endpoint lists, or asks for them again. */
    void subscribeToEndpoints();

    /** Attempts that still wait for a connection to this endpoint must not go there any more. */
    default void withdrawQueuedAttempts(String endpoint) {}

    /** The endpoint is in use from here on: connections to it may be made ahead and kept. */
    default void retainEndpoint(EndpointDescriptor endpoint) {}

    /** The endpoint is not in use any more: idle connections may be closed, attempts in flight may end. */
    default void releaseEndpoint(String endpoint) {}
}
