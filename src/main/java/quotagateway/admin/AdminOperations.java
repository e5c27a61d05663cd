package quotagateway.admin;

import java.util.function.Consumer;

/** The node's operations that the admin endpoint calls. Called on the event loop. */
public interface AdminOperations {
    /** Returns whether the node accepts clients: its listener is bound and is not about to close. */
    boolean acceptsClients();

    /** Returns the metrics in the text format of Prometheus. */
    String metricsText();

    /** Cordons or uncordons an endpoint; the result is passed once the change has been persisted or has failed. */
    void cordon(String endpoint, boolean cordoned, Consumer<CordonResult> onResult);
}
