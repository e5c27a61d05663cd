package quotagateway.discovery;

import java.util.List;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.EndpointDescriptor;

/** Receives what discovery says. Called on the event loop. */
public interface DiscoveryListener {
    /**
     * Changes, a part of a list, or a list of few endpoints as a whole.
     *
     * @param complete whether endpoints that are not named here are removed
     */
    void onEndpoints(List<EndpointDescriptor> endpoints, boolean complete);

    /** From here on come parts of a complete list; one that has begun and does not end removes nothing. */
    void onEndpointListStarted();

    /** Endpoints that the parts since {@link #onEndpointListStarted} have not named are removed. */
    void onEndpointListCompleted();

    /** A call to discovery has failed, or a watch has ended. */
    void onDiscoveryFailed();

    /** A line for the operators; the same one is not repeated. */
    void logNotice(String text);

    /** A step of a call to discovery, for the event log. */
    default void logEvent(NodeEvent event) {}
}
