package quotagateway.policy.api;

/**
 * The optional features that a deployment allows, and its limits.
 *
 * @param healthChecks whether endpoints may be asked for their load
 * @param cancellation whether an attempt may be cancelled
 * @param hedging whether two attempts of one request may be in flight at the same time
 * @param retryAfter whether a rejection may name a time after which to retry
 * @param gossip whether gateways may send each other messages
 * @param sharedCounter whether there is a counter that all gateways share
 * @param maxAttempts maximum number of attempts of one request, 1 or more
 * @param maxRetryAfter the longest time after which to retry that a rejection may name (ms)
 * @param counterTimeout timeout of a call to the shared counter (ms)
 */
public record Capabilities(
        boolean healthChecks,
        boolean cancellation,
        boolean hedging,
        boolean retryAfter,
        boolean gossip,
        boolean sharedCounter,
        int maxAttempts,
        double maxRetryAfter,
        double counterTimeout) {}
