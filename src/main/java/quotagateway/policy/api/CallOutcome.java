package quotagateway.policy.api;

/** How an attempt, a health check or a call to the shared counter ended. */
public enum CallOutcome {
    /** A complete response that is not an error. */
    OK(false),
    /** An error response, or a response that could not be parsed. */
    ERROR(false),
    /** The peer rejected the call because it had no capacity left. */
    FULL(true),
    /** No response within the timeout. */
    TIMEOUT(false),
    /** No connection, or the connection ended before the call was written. */
    NO_CONNECTION(true),
    /** The connection ended after the call was written and before its response. */
    RESET(false),
    /** Cancelled at the request of the policy. */
    CANCELLED(false),
    /** Not written, because the request had ended by then or a rule forbade the call. */
    NOT_SENT(true);

    /** True if the outcome proves that the peer has not executed the call. */
    public final boolean provesNotExecuted;

    CallOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
