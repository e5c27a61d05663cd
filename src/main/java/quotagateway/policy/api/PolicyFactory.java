package quotagateway.policy.api;

/** Makes a policy. */
@FunctionalInterface
public interface PolicyFactory {
    /**
     * Makes a policy that begins at once.
     *
     * @param settings what it is told
     * @param seed of all its random draws: the same events with the same seed give the same actions
     * @param now the host's clock (ms)
     * @param actions where its decisions go
     */
    PolicyEvents create(PolicySettings settings, long seed, double now, PolicyActions actions);
}
