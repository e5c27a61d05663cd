package quotagateway.policy.api;

/** What the site allows. */
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
