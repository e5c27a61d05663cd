package quotagateway.policy.quota;

/** What a quota has to know of a request to decide on its admission. */
public interface QuotaRequest {
    /** Returns the units of quota that the request takes. */
    int units();

    /** Returns when the request arrived. */
    double arrivedAt();

    /**
     * Returns when the request has to be sent at the latest to be of use; this changes with the latency of its class.
     */
    double latestStart();

    /** Returns whether the client has sent this request before. */
    boolean isClientRetry();
}
