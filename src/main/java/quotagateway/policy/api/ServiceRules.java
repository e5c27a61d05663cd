package quotagateway.policy.api;

/**
 * The rules that every decision must follow.
 *
 * @param responseGrace how long after its deadline (ms) a request may still get a response
 * @param drainGrace how long after the gateway has learned of an endpoint's draining (ms) it may send attempts there
 * @param slowStartInitialShare fraction of its full capacity that an endpoint has when it starts
 * @param slowStartDuration how long after its start (ms) an endpoint has its full capacity at the latest
 * @param overloadFactor load over the window, as a multiple of its capacity, that overloads an endpoint in slow start
 * @param overloadWindow length of the window over which that load is counted (ms)
 */
public record ServiceRules(
        double responseGrace,
        double drainGrace,
        double slowStartInitialShare,
        double slowStartDuration,
        double overloadFactor,
        double overloadWindow) {}
