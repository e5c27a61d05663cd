package quotagateway.lifecycle;

/** How a request has ended for its client. One that its client has abandoned has no outcome. */
public enum RequestOutcome {
    /** An endpoint's response was passed on. */
    FULFILLED("fulfilled"),
    /** It was rejected without having been executed. */
    THROTTLED("throttled"),
    /** Its response is an error; it may have been executed. */
    FAULTED("faulted");

    /** Its label in the metrics. */
    public final String label;

    RequestOutcome(String label) {
        this.label = label;
    }
}
