package quotagateway.policy.admission;

import java.util.ArrayDeque;

/**
 * The customers with waiting requests, served in turn (round-robin), of each the request first that is of no use
 * soonest. The design page's queues.
 */
final class AdmissionQueue {
    /** What came of the offer of a request. */
    enum Offer {
        /** It was sent, and waits no more. */
        SENT,
        /** Its customer has to wait; others may be served. */
        CUSTOMER_BLOCKED,
        /** Nothing can be sent at present, for whichever customer. */
        ALL_BLOCKED
    }

    /** Sends a request if it may be sent now. */
    @FunctionalInterface
    interface Server {
        Offer offer(PendingRequest request);
    }

    private final ArrayDeque<Customer> rotation = new ArrayDeque<>();

    /** Adds a request; its customer comes last in turn if none of it waited. */
    void add(PendingRequest request) {
        Customer customer = request.customer();
        customer.queue().add(request);
        if (!customer.queue().isInRotation()) {
            customer.queue().setInRotation(true);
            rotation.add(customer);
        }
    }

    /** Offers waiting requests until every customer is blocked in a row, or all are. */
    void serve(Server server) {
        int blocked = 0;
        while (blocked < rotation.size()) {
            Customer customer = rotation.poll();
            if (customer.queue().isEmpty()) {
                customer.queue().setInRotation(false);
                continue;
            }
            rotation.add(customer);
            switch (server.offer(customer.queue().first())) {
                case SENT -> blocked = 0;
                case CUSTOMER_BLOCKED -> blocked++;
                case ALL_BLOCKED -> {
                    return;
                }
            }
        }
    }
}
