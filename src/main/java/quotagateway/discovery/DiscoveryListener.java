package quotagateway.discovery;

import java.util.List;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.EndpointDescriptor;

/** Who is told what discovery says. Called on the event loop. */
public interface DiscoveryListener {
    /** Changes or a part of a list, or a complete list of few endpoints. */
    void onEndpoints(List<EndpointDescriptor> endpoints, boolean complete);

    /** From here on come parts of a complete list; one that is begun and not ended removes nothing. */
    void onEndpointListStarted();

    /** What the parts since {@link #onEndpointListStarted} have not named is removed. */
    void onEndpointListCompleted();

    /** A call to discovery has failed, or a watch has ended. */
    void onDiscoveryFailed();

    /** A line for the operators, once. */
    void logNotice(String text);

    /** For the event log. */
    default void logEvent(NodeEvent event) {}
}
