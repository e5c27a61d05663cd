package quotagateway.policy.api;

/** How an attempt, a health check or a call to the shared counter ended. */
public enum CallOutcome {
    /** A complete response that is no error. */
    OK(false),
    /** An error response, or one that could not be read. */
    ERROR(false),
    /** The peer rejected the call as it has no capacity left. */
    FULL(true),
    /** No response within the time that it was waited for. */
    TIMEOUT(false),
    /** No connection, or the connection ended before the call was written. */
    NO_CONNECTION(true),
    /** The connection ended behind the call and before its response. */
    RESET(false),
    /** Given up on the policy's request. */
    CANCELLED(false),
    /** Not written, as the request had ended by then or a rule forbade it. */
    NOT_SENT(true);

    /** True where the outcome proves that the peer has not executed the call. */
    public final boolean provesNotExecuted;

    CallOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
