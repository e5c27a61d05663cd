package quotagateway.policy.api;

/**
 * What a deployment allows and bounds.
 *
 * @param healthChecks whether endpoints may be asked for their load
 * @param cancellation whether an attempt may be cancelled
 * @param hedging whether two attempts of one request may be in flight together
 * @param retryAfter whether a rejection may name a time to retry after
 * @param gossip whether gateways may send each other messages
 * @param sharedCounter whether there is a counter that all gateways share
 * @param maxAttempts attempts of one request at the most, 1 or more
 * @param maxRetryAfter the longest time to retry after (ms)
 * @param counterTimeout how long a call to the shared counter is waited for (ms)
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
