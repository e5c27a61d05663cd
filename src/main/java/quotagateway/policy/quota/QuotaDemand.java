package quotagateway.policy.quota;

/** What a quota knows of its customer's requests that wait or are being served; implemented by the queue. */
public interface QuotaDemand {
    /** Returns whether no request waits. */
    boolean isEmpty();

    /** Returns the units of all requests that wait. */
    double queuedUnits();

    /** Returns the units of the next request; at least one request must be waiting. */
    int firstUnits();

    /** Returns the latest start of the request that can wait longest; at least one request must be waiting. */
    double maxLatestStart();

    /** Returns how many attempts of this customer's requests are in flight. */
    int attemptsInFlight();
}
