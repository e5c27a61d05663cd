package quotagateway.policy.api;

/** Creates policies. */
@FunctionalInterface
public interface PolicyFactory {
    /**
     * Creates a policy and starts it.
     *
     * @param settings the settings of the gateway's policy
     * @param seed the seed of all random draws: equal events with an equal seed lead to equal actions
     * @param now the time of the host's clock (ms)
     * @param actions receives the actions of the policy
     */
    PolicyEvents create(PolicySettings settings, long seed, double now, PolicyActions actions);
}
