package quotagateway.policy.api;

/** May a request be repeated: freely, inside a group of servers that drops repeats, or never. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
}
