package quotagateway.lifecycle;

/** How a request ended for its client. A request whose client has disconnected has no outcome. */
public enum RequestOutcome {
    /** The response of an endpoint was forwarded. */
    FULFILLED("fulfilled"),
    /** The request was rejected without being executed. */
    THROTTLED("throttled"),
    /** The response is an error; the request may have been executed. */
    FAULTED("faulted");

    /** The label of the outcome in the metrics. */
    public final String label;

    RequestOutcome(String label) {
        this.label = label;
    }
}
