package quotagateway.policy.api;

/** How an attempt, a probe or a counter call ended; the flag says that it proves nothing ran. */
public enum CallOutcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    NO_CONNECTION(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** True where the work cannot have run. */
    public final boolean provesNotExecuted;

    CallOutcome(boolean neverRan) {
        this.provesNotExecuted = neverRan;
    }
}
