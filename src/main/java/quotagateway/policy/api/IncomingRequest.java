package quotagateway.policy.api;

/** A request as it arrived. */
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
