package quotagateway.discovery;

import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.ConfiguredAddress;
import quotagateway.transport.EventLoopContext;

/**
 * Hands lists on to the listener, and their versions to the client. During a change of the address lists of the former
 * agent and of the new one may come at the same time. Once the new agent has named endpoints, the former one is believed
 * only where it takes endpoints out of use: it may lag behind, and must not set up again what the new one has named as
 * draining.
 */
final class EndpointListForwarder {
    private final EventLoopContext loop;
    private final DiscoveryListener listener;
    private final DiscoveryClient client;
    private final int maxEndpoints;
    /** Whose list in parts was begun last: it has taken the place of any other that has not ended. */
    private Source lastStarted;
    /** The newest configuration whose agent has named endpoints. */
    private ConfiguredAddress newestHeard;

    private boolean tooManyNoticed;

    EndpointListForwarder(EventLoopContext loop, DiscoveryListener listener, DiscoveryClient client, int maxEndpoints) {
        this.loop = loop;
        this.listener = listener;
        this.client = client;
        this.maxEndpoints = maxEndpoints;
        newestHeard = ConfiguredAddress.initial(null);
    }

    /** A parser for the lists of one connection, or for the one list that was saved. */
    EndpointListParser newParser(ConfiguredAddress source) {
        return new EndpointListParser(new Source(source), maxEndpoints);
    }

    private final class Source implements EndpointListHandler {
        private final ConfiguredAddress address;

        Source(ConfiguredAddress address) {
            this.address = address;
        }

        @Override
        public void onListStarted() {
            if (isSuperseded()) {
                return;
            }
            newestHeard = address;
            lastStarted = this;
            listener.onEndpointListStarted();
        }

        @Override
        public void onEndpoints(List<EndpointDescriptor> endpoints, boolean complete) {
            if (isSuperseded()) {
                forwardLeaving(endpoints);
                return;
            }
            newestHeard = address;
            listener.onEndpoints(endpoints, complete);
        }

        /** Whether the agent of a newer configuration has named endpoints. */
        private boolean isSuperseded() {
            return newestHeard.isNewerThan(address);
        }

        private void forwardLeaving(List<EndpointDescriptor> endpoints) {
            List<EndpointDescriptor> leaving = endpoints.stream()
                    .filter(endpoint -> endpoint.state() != EndpointState.UP)
                    .toList();
            if (!leaving.isEmpty()) {
                listener.onEndpoints(leaving, false);
            }
        }

        @Override
        public void onListEnded(double version, boolean complete, boolean removesUnnamed) {
            if (removesUnnamed && lastStarted == this) {
                listener.onEndpointListCompleted();
            }
            client.onListEnded(address, version, complete);
        }

        @Override
        public void onInvalidEntry(Exception cause) {
            loop.logFailure("discovery", cause);
        }

        @Override
        public void onTooManyEntries(int maxEntries) {
            if (!tooManyNoticed) {
                listener.logNotice("discovery: the list names more than " + maxEntries + " servers, the most that"
                        + " limits.memory_mb bears; the others are left out and none is dropped by it");
            }
            tooManyNoticed = true;
        }
    }
}
