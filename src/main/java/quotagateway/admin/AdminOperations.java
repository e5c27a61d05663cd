package quotagateway.admin;

import java.util.function.Consumer;

/** What the admin endpoint asks of its node. Called on the event loop. */
public interface AdminOperations {
    /** Whether the node takes clients: its listener is up and is to stay. */
    boolean acceptsClients();

    /** The metrics in Prometheus' text format. */
    String metricsText();

    /** Cordons an endpoint or takes its cordon off; the result comes once that is kept or has failed. */
    void cordon(String endpoint, boolean cordoned, Consumer<CordonResult> onResult);
}
