package quotagateway.policy.api;

/**
 * The rules that every decision has to keep.
 *
 * @param answerGrace how long after its deadline (ms) a request may still be answered
 * @param drainGrace how long after it was learned that an endpoint drains (ms) attempts may still go there
 * @param slowStartInitialShare the part of its capacity that an endpoint has when it starts
 * @param slowStartDuration how long after its start (ms) an endpoint has all of its capacity at the latest
 * @param overloadFactor so many times its capacity, over the window, overloads an endpoint in slow start
 * @param overloadWindow the window in which that is counted (ms)
 */
public record ServiceRules(
        double answerGrace,
        double drainGrace,
        double slowStartInitialShare,
        double slowStartDuration,
        double overloadFactor,
        double overloadWindow) {}
