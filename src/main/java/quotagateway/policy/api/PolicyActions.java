package quotagateway.policy.api;

/** What an instance asks of its host. */
public interface PolicyActions {
    void sendAttempt(long id, String server, double until);

    void cancelAttempt(long id, int attempt);

    void reject(long id, double retryAfter);

    void fail(long id);

    /** As {@link #refuse(long, double)}, with the reason. */
    default void reject(long id, double retryAfter, FailureReason reason) {
        reject(id, retryAfter);
    }

    /** As {@link #fail(long)}, with the reason. */
    default void fail(long id, FailureReason reason) {
        fail(id);
    }

    void scheduleTimer(double delay, long token);

    void checkHealth(String server);

    void addToCounter(long name, double amount, double keepFor);

    void subscribeToEndpoints();

    /** What still waits for a connection to this server must not go there any more. */
    default void withdrawQueuedAttempts(String server) {}

    /** This server is used from here on: connections to it may be made ahead and kept. */
    default void retainEndpoint(EndpointDescriptor server) {}

    /** It is not used any more: what is idle there may be closed, what is out may end. */
    default void releaseEndpoint(String server) {}
}
