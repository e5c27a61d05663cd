package quotagateway.node;

import java.util.function.Consumer;
import quotagateway.admin.AdminOperations;
import quotagateway.admin.CordonMetrics;
import quotagateway.admin.CordonResult;
import quotagateway.admin.MemoryMetrics;
import quotagateway.admin.Metrics;

/**
 * The operations of a node that its admin endpoint offers to operators. The endpoint is available before the policy
 * exists.
 */
final class NodeAdminOperations implements AdminOperations {
    private final NodeStateMachine state;
    private final Metrics metrics;
    private final MemoryMetrics memoryMetrics;
    private final RequestTable requests;
    private final PolicyInvoker policy;
    private final CordonStore cordons;

    NodeAdminOperations(
            NodeStateMachine state,
            Metrics metrics,
            MemoryMetrics memoryMetrics,
            RequestTable requests,
            PolicyInvoker policy,
            CordonStore cordons) {
        this.state = state;
        this.metrics = metrics;
        this.memoryMetrics = memoryMetrics;
        this.requests = requests;
        this.policy = policy;
        this.cordons = cordons;
    }

    @Override
    public boolean acceptsClients() {
        return state.isServing();
    }

    @Override
    public String metricsText() {
        return metrics.render(requests.openCount(), policy.endpointCount(), policy.unavailableEndpointCount())
                + memoryMetrics.render()
                + CordonMetrics.render(cordons.count());
    }

    /** {@inheritDoc} Before the policy exists, no endpoint is known and nothing is stored. */
    @Override
    public void cordon(String endpoint, boolean cordoned, Consumer<CordonResult> onResult) {
        if (policy.isCreated()) {
            cordons.setCordoned(endpoint, cordoned, onResult);
        } else {
            onResult.accept(CordonResult.NOT_PERSISTED);
        }
    }
}
