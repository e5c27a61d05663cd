package quotagateway.policy.api;

/**
 * A request of a client as it arrived.
 *
 * @param id the host's number for it, unique for as long as it is open
 * @param requestClass name of its {@link RequestClass}
 * @param plan name of its {@link QuotaPlan}
 * @param customer whose quota it counts against
 * @param clientTimeout how long the client waits for a response (ms)
 * @param units how many units of quota it takes, 1 or more
 * @param gatewayCount how many gateways share the customer's traffic
 * @param firstGateway index of the first of those gateways; the others follow in order
 * @param retry whether the client says that it has asked before
 */
public record IncomingRequest(
        long id,
        String requestClass,
        String plan,
        String customer,
        double clientTimeout,
        int units,
        int gatewayCount,
        int firstGateway,
        boolean retry) {}
