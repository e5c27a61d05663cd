package quotagateway.node;

import quotagateway.admin.AdminServer;
import quotagateway.client.ClientListener;
import quotagateway.config.GatewayConfig;

/**
 * Divides the file descriptors of a node between client connections, connections to endpoints, and the needs of the
 * process itself. While a new version starts alongside the old one, both processes share the limit.
 *
 * @param maxSockets descriptors that the node may hold
 * @param adminConnections descriptors that the admin endpoint needs, 0 if there is none
 */
record DescriptorBudget(int maxSockets, int adminConnections) {
    /** Share of client connections: above the guaranteed third, and low enough that a successor can start. */
    private static final double CLIENT_SHARE = 0.55;
    /** Share of connections to endpoints. */
    private static final double ENDPOINT_SHARE = 0.25;
    /**
     * Share of client connections while a predecessor still has its own: enough for all clients that send requests.
     * With a tenth, idle connections kept out clients that had requests.
     */
    private static final double CLIENT_SHARE_DURING_HANDOVER = 0.34;
    /** Clients are guaranteed the descriptors divided by this number: a third. */
    private static final int GUARANTEED_CLIENT_DIVISOR = 3;
    /**
     * The most descriptors that the process itself holds: 24 files of the JVM, its event loop and its state, the
     * listener, 8 connections to the counter during a change of its address, 5 to discovery (a change of address, and
     * old connections that are closing) and 2 spare ones.
     */
    private static final int PROCESS_DESCRIPTORS = 40;

    /** Returns the budget of a node with an admin endpoint, whose listener needs a descriptor too. */
    static DescriptorBudget withAdminEndpoint(int maxSockets) {
        return new DescriptorBudget(maxSockets, AdminServer.MAX_CONNECTIONS + 1);
    }

    /** Returns the budget of a gateway with this configuration. */
    static DescriptorBudget of(GatewayConfig config) {
        return config.adminAddress() == null
                ? withoutAdminEndpoint(config.maxSockets())
                : withAdminEndpoint(config.maxSockets());
    }

    /** Returns the budget of a node without an admin endpoint. */
    static DescriptorBudget withoutAdminEndpoint(int maxSockets) {
        return new DescriptorBudget(maxSockets, 0);
    }

    /** The limit on connections to endpoints. */
    int endpointConnections() {
        return (int) (maxSockets * ENDPOINT_SHARE);
    }

    /** The limit on client connections. */
    int clientConnections() {
        return clientConnections(CLIENT_SHARE);
    }

    /** The limit on client connections while the process that this one replaces may still run. */
    int clientConnectionsDuringHandover() {
        return clientConnections(CLIENT_SHARE_DURING_HANDOVER);
    }

    /** Returns the share, or what the other parts leave if that is less, but at least the guaranteed third. */
    private int clientConnections(double share) {
        int requested = (int) (maxSockets * share);
        int available = maxSockets
                - endpointConnections()
                - PROCESS_DESCRIPTORS
                - 2 * ClientListener.connectionsBeyondLimit(requested)
                - adminConnections;
        return Math.max(maxSockets / GUARANTEED_CLIENT_DIVISOR, Math.min(requested, available));
    }
}
