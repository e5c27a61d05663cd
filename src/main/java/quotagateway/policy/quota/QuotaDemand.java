package quotagateway.policy.quota;

/** What a customer's queue tells its quota: all that the quota knows of requests that wait or are being served. */
public interface QuotaDemand {
    /** Whether no request waits. */
    boolean isEmpty();

    /** Units of all requests that wait. */
    double queuedUnits();

    /** Units of the request that is next; there has to be one. */
    int firstUnits();

    /** When the request that can wait longest has to be sent at the latest; there has to be one. */
    double lastLatestStart();

    /** Attempts of this customer's requests in flight. */
    int attemptsInFlight();
}
