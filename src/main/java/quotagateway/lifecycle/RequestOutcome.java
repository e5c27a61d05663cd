package quotagateway.lifecycle;

/** How a request has ended for its client; one that the client abandoned is counted nowhere. */
public enum RequestOutcome {
    FULFILLED("fulfilled"),
    THROTTLED("throttled"),
    FAULTED("faulted");

    public final String label;

    RequestOutcome(String label) {
        this.label = label;
    }
}
