package quotagateway.policy.api;

/**
 * A client's request as it arrived.
 *
 * @param id the host's id of the request, unique while the request is open
 * @param requestClass name of its {@link RequestClass}
 * @param plan name of its {@link QuotaPlan}
 * @param customer name of the customer whose quota the request uses
 * @param clientTimeout how long the client waits for a response (ms)
 * @param units units of quota that the request uses, 1 or more
 * @param gatewayCount how many gateways share the customer's traffic
 * @param firstGateway index of the first of those gateways; the others follow in order
 * @param retry whether the client marks the request as a retry
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
