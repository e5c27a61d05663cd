package quotagateway.node;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import quotagateway.config.GatewayConfig;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicyFactory;
import quotagateway.transport.EventLoopContext;

/**
 * Holds the policy and delivers events to it. An exception in the policy is logged and never reaches the event loop: it
 * loses the event, not the connection that the event came from. All methods are called on the event loop.
 */
final class PolicyInvoker implements CordonTarget {
    private final EventLoopContext loop;
    private PolicyEvents policy;

    PolicyInvoker(EventLoopContext loop) {
        this.loop = loop;
    }

    /**
     * Creates the policy, before any event. Exceptions of the factory reach the caller, as a node cannot run without a
     * policy.
     */
    void create(PolicyFactory factory, GatewayConfig config, PolicyActions actions) {
        policy = factory.create(config.settings(), config.seed(), loop.now(), actions);
    }

    /** Whether the policy exists; the admin endpoint is available before that. */
    boolean isCreated() {
        return policy != null;
    }

    /** Delivers an event to the policy; returns false if the policy threw an exception. */
    boolean deliver(Consumer<PolicyEvents> event) {
        try {
            event.accept(policy);
            return true;
        } catch (RuntimeException | Error e) {
            loop.logFailure("policy", e);
            return false;
        }
    }

    private <T> T query(Function<PolicyEvents, T> call, T fallback) {
        try {
            return call.apply(policy);
        } catch (RuntimeException | Error e) {
            loop.logFailure("policy", e);
            return fallback;
        }
    }

    @Override
    public boolean setCordoned(String endpoint, boolean cordoned) {
        return query(p -> p.setCordoned(loop.now(), endpoint, cordoned), false);
    }

    @Override
    public void replaceCordons(Set<String> endpoints) {
        deliver(p -> p.replaceCordons(loop.now(), endpoints));
    }

    /** Returns the number of listed endpoints; 0 before the policy exists. */
    int endpointCount() {
        return policy == null ? 0 : policy.endpointCount();
    }

    /** Returns the number of listed endpoints that currently get no new requests; 0 before the policy exists. */
    int unavailableEndpointCount() {
        return policy == null ? 0 : query(p -> p.unavailableEndpointCount(loop.now()), 0);
    }
}
