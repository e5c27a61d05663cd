package quotagateway.policy.quota;

/** What a quota has to know of a request to let it pass. */
public interface QuotaRequest {
    /** Units of quota that it takes. */
    int units();

    /** When it came. */
    double arrivedAt();

    /** When it has to be sent at the latest to be of use; moves with the latency of its class. */
    double latestStart();

    /** Whether its client has asked before. */
    boolean isClientRetry();
}
