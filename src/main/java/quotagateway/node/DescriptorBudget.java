package quotagateway.node;

import quotagateway.admin.AdminServer;
import quotagateway.client.ClientListener;

/**
 * How the file descriptors of a node are divided between the connections of clients, those to endpoints, and what
 * the process needs for itself. The limit is one for both processes while a new version comes up beside the old one.
 *
 * @param maxSockets descriptors that the node may hold
 * @param adminConnections descriptors that the admin endpoint needs, 0 where there is none
 */
record DescriptorBudget(int maxSockets, int adminConnections) {
    /** The part for clients: more than the third that they are promised, and it leaves a successor its start. */
    private static final double CLIENT_SHARE = 0.55;
    /** The part for connections to endpoints. */
    private static final double ENDPOINT_SHARE = 0.25;
    /**
     * The part for clients while a predecessor still has its own: as many as ask in earnest. With a tenth, idle
     * connections shut out those that had requests.
     */
    private static final double CLIENT_SHARE_BESIDE_PREDECESSOR = 0.34;
    /** Clients may always have a third of the descriptors: 1 / this. */
    private static final int GUARANTEED_CLIENT_DIVISOR = 3;
    /**
     * What the process itself holds at the most: 24 files of the JVM, its loop and its state, the listener, 8
     * connections to the counter while it moves, 5 to discovery (a move, and old ones that end) and 2 to spare.
     */
    private static final int OWN_DESCRIPTORS = 40;

    /** The budget of a node with an admin endpoint: its listener counts too. */
    static DescriptorBudget withAdminEndpoint(int maxSockets) {
        return new DescriptorBudget(maxSockets, AdminServer.MAX_CONNECTIONS + 1);
    }

    /** The budget of a node without an admin endpoint. */
    static DescriptorBudget withoutAdminEndpoint(int maxSockets) {
        return new DescriptorBudget(maxSockets, 0);
    }

    /** How many connections to endpoints there may be. */
    int endpointConnections() {
        return (int) (maxSockets * ENDPOINT_SHARE);
    }

    /** How many connections of clients there may be. */
    int clientConnections() {
        return clientConnections(CLIENT_SHARE);
    }

    /** How many connections of clients there may be while the process that this one replaces may still run. */
    int clientConnectionsBesidePredecessor() {
        return clientConnections(CLIENT_SHARE_BESIDE_PREDECESSOR);
    }

    /** The share, or what the other parts leave where that is less, but never less than is guaranteed. */
    private int clientConnections(double share) {
        int wanted = (int) (maxSockets * share);
        int left = maxSockets
                - endpointConnections()
                - OWN_DESCRIPTORS
                - 2 * ClientListener.connectionsBeyondLimit(wanted)
                - adminConnections;
        return Math.max(maxSockets / GUARANTEED_CLIENT_DIVISOR, Math.min(wanted, left));
    }
}
