package quotagateway.policy.admission;

import java.util.ArrayDeque;

/**
 * Holds the customers that have waiting requests. Serves the customers round-robin, and the requests of each customer
 * by the earliest objective deadline.
 */
final class AdmissionQueue {
    /** The result of an attempt to send a waiting request. */
    enum SendResult {
        /** The request was sent and no longer waits. */
        SENT,
        /** The request's customer has to wait; other customers may be served. */
        CUSTOMER_BLOCKED,
        /** No request of any customer can be sent at present. */
        ALL_BLOCKED
    }

    /** Sends a request if it may be sent now. */
    @FunctionalInterface
    interface RequestSender {
        SendResult trySend(PendingRequest request);
    }

    private final ArrayDeque<Customer> rotation = new ArrayDeque<>();

    /** Adds a request. Its customer joins the end of the rotation unless it is in the rotation already. */
    void add(PendingRequest request) {
        Customer customer = request.customer();
        customer.queue().add(request);
        if (!customer.queue().isInRotation()) {
            customer.queue().setInRotation(true);
            rotation.add(customer);
        }
    }

    /** Sends waiting requests until each customer in the rotation is blocked, or no request can be sent at all. */
    void sendWaiting(RequestSender sender) {
        int blocked = 0;
        while (blocked < rotation.size()) {
            Customer customer = rotation.poll();
            if (customer.queue().isEmpty()) {
                customer.queue().setInRotation(false);
                continue;
            }
            rotation.add(customer);
            switch (sender.trySend(customer.queue().first())) {
                case SENT -> blocked = 0;
                case CUSTOMER_BLOCKED -> blocked++;
                case ALL_BLOCKED -> {
                    return;
                }
            }
        }
    }
}
