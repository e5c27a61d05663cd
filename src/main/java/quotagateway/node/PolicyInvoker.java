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
 * Holds the policy and passes events to it. An exception in the policy is logged and never reaches the event loop:
 * it costs the event that it came with, not the connection that the event came from. All of it runs on the loop.
 */
final class PolicyInvoker {
    private final EventLoopContext loop;
    private PolicyEvents policy;

    PolicyInvoker(EventLoopContext loop) {
        this.loop = loop;
    }

    /** Makes the policy, before any event. What its factory throws is the caller's: a node cannot do without. */
    void create(PolicyFactory factory, GatewayConfig config, PolicyActions actions) {
        policy = factory.create(config.settings(), config.seed(), loop.now(), actions);
    }

    /** Whether there is a policy yet: the admin endpoint is up before it. */
    boolean isCreated() {
        return policy != null;
    }

    /** Passes an event to the policy; false where an exception has ended it. */
    boolean tell(Consumer<PolicyEvents> event) {
        try {
            event.accept(policy);
            return true;
        } catch (RuntimeException | Error e) {
            loop.logFailure("policy", e);
            return false;
        }
    }

    private <T> T ask(Function<PolicyEvents, T> question, T answerOnFailure) {
        try {
            return question.apply(policy);
        } catch (RuntimeException | Error e) {
            loop.logFailure("policy", e);
            return answerOnFailure;
        }
    }

    /** Cordons an endpoint or takes its cordon off; false where no list has ever named it. */
    boolean setCordoned(String endpoint, boolean cordoned) {
        return ask(p -> p.setCordoned(loop.now(), endpoint, cordoned), false);
    }

    /** These endpoints are cordoned and no others. */
    void replaceCordons(Set<String> endpoints) {
        tell(p -> p.replaceCordons(loop.now(), endpoints));
    }

    /** How many endpoints are listed; 0 before there is a policy. */
    int endpointCount() {
        return policy == null ? 0 : policy.endpointCount();
    }

    /** How many of the listed endpoints get nothing new at present; 0 before there is a policy. */
    int unavailableEndpointCount() {
        return policy == null ? 0 : ask(p -> p.unavailableEndpointCount(loop.now()), 0);
    }
}
