package quotagateway.node;

import quotagateway.client.ClientListener;
import quotagateway.transport.DirectMemory;

/** The limits of a process that runs alongside the version that it replaces, as the configured limits hold for both. */
final class HandoverLimits {
    private final DescriptorBudget descriptors;
    private final DirectMemory memory;
    private final ClientListener clients;

    HandoverLimits(DescriptorBudget descriptors, DirectMemory memory, ClientListener clients) {
        this.descriptors = descriptors;
        this.memory = memory;
        this.clients = clients;
    }

    /** Another process runs too. */
    void apply() {
        memory.setProcessCount(ProcessHandover.PROCESSES_DURING_HANDOVER);
        clients.limitConnections(descriptors.clientConnectionsDuringHandover());
    }

    /** The other process has ended. */
    void lift() {
        memory.setProcessCount(1);
        clients.limitConnections(descriptors.clientConnections());
    }
}
