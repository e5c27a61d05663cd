package quotagateway.policy.api;

/** The figures of the rules. */
public record ServiceRules(
        double answerGrace,
        double drainGrace,
        double slowStartInitialShare,
        double slowStartDuration,
        double overloadFactor,
        double overloadWindow) {}
