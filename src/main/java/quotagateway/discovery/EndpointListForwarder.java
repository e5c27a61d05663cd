package quotagateway.discovery;

import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.ConfiguredAddress;
import quotagateway.transport.EventLoopContext;

/**
 * Hands lists on to the listener, and their versions to the client. During a change of the address lists of the former
 * agent and of the new one may come at the same time. Once the new agent has named endpoints, the former one is heard
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

    /** The lists of one connection to an agent, or the one list that was saved. */
    Source newSource(ConfiguredAddress address) {
        return new Source(address);
    }

    /** Where lists come from: they are read by its parser, and handed on as far as this source is still believed. */
    final class Source implements EndpointListHandler {
        private final ConfiguredAddress address;
        private final EndpointListParser parser;
        private long version = DiscoveryClient.NO_VERSION;

        private Source(ConfiguredAddress address) {
            this.address = address;
            parser = new EndpointListParser(this, maxEndpoints);
        }

        /** The address that its connection was opened to. */
        ConfiguredAddress address() {
            return address;
        }

        EndpointListParser parser() {
            return parser;
        }

        /** The version of the last list or change that came from here, or {@link DiscoveryClient#NO_VERSION}. */
        long version() {
            return version;
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
        public void onListEnded(double listVersion, boolean complete, boolean removesUnnamed) {
            if (removesUnnamed && lastStarted == this) {
                listener.onEndpointListCompleted();
            }
            version = Double.isNaN(listVersion) ? version : (long) listVersion;
            client.onListEnded(address, listVersion, complete);
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
