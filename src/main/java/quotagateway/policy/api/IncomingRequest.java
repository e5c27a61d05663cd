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
 * @param arriving whether more of the request is still to arrive: its client's timeout starts only then, and the host
 *     ends what is in flight at that time
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
        boolean retry,
        boolean arriving) {

    /** Creates a request that has arrived completely. */
    public IncomingRequest(
            long id,
            String requestClass,
            String plan,
            String customer,
            double clientTimeout,
            int units,
            int gatewayCount,
            int firstGateway,
            boolean retry) {
        this(id, requestClass, plan, customer, clientTimeout, units, gatewayCount, firstGateway, retry, false);
    }
}
