package quotagateway.policy.api;

/** How a decision module is made. */
public interface PolicyFactory {
    PolicyEvents create(PolicySettings settings, long seed, double now, PolicyActions actions);
}
