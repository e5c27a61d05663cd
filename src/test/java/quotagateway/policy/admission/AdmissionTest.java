package quotagateway.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.retry.IdempotencyRule;
import quotagateway.policy.testing.PolicyValues;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.traffic.TrafficMeter;

/** The parts of admission that need no quota and no endpoint. */
class AdmissionTest {
    private static final double MARGIN = 4;

    private final ClassLatency read = new ClassLatency(PolicyValues.READ); // 100 ms in the mean
    private final RecordingActions host = new RecordingActions();
    private final OpenRequests requests = new OpenRequests(
            PolicyValues.settings(1).capabilities(), new IdempotencyRule(MARGIN), new TrafficMeter(), host);
    private final AdmissionQueue queue = new AdmissionQueue();

    private static Customer customer() {
        return new Customer(new CustomerQueue(), null);
    }

    /** A request that came at 0 and waits two seconds, of use for so long. */
    private PendingRequest request(long id, Customer customer, double usefulMs) {
        IncomingRequest incoming = new IncomingRequest(id, "read", "rate", "c", 2000, 2, 1, 0, false);
        return new PendingRequest(incoming, customer, read, 0, usefulMs, MARGIN, id);
    }

    /** What is served, by number, while so many may be sent. */
    private List<Long> serve(int sends, Customer blocked) {
        List<Long> served = new ArrayList<>();
        queue.serve(request -> {
            if (request.customer().equals(blocked)) {
                return AdmissionQueue.Offer.CUSTOMER_BLOCKED;
            }
            if (served.size() == sends) {
                return AdmissionQueue.Offer.ALL_BLOCKED;
            }
            request.customer().queue().remove(request);
            served.add(request.id());
            return AdmissionQueue.Offer.SENT;
        });
        return served;
    }

    @Test
    void customersAreServedInTurnAndTheirSoonestUselessRequestsFirst() {
        Customer one = customer();
        Customer other = customer();
        queue.add(request(1, one, 700));
        queue.add(request(2, one, 500));
        queue.add(request(3, one, 700));
        queue.add(request(4, other, 900));
        assertEquals(List.of(2L, 4L, 1L, 3L), serve(10, null));
        assertEquals(List.of(), serve(10, null));
        assertFalse(one.queue().isInRotation());
    }

    @Test
    void blockedCustomerDoesNotHoldUpTheOthers() {
        Customer blocked = customer();
        Customer other = customer();
        queue.add(request(1, blocked, 700));
        queue.add(request(2, other, 700));
        queue.add(request(3, other, 700));
        assertEquals(List.of(2L, 3L), serve(10, blocked));
        assertEquals(List.of(1L), serve(10, null));
    }

    @Test
    void nothingIsServedWhereAllAreBlocked() {
        Customer one = customer();
        Customer other = customer();
        queue.add(request(1, one, 700));
        queue.add(request(2, other, 700));
        assertEquals(List.of(1L), serve(1, null));
        assertEquals(List.of(2L), serve(1, null), "the other's turn");
    }

    @Test
    void queueCountsTheUnitsThatWait() {
        Customer customer = customer();
        PendingRequest request = request(1, customer, 700);
        customer.queue().add(request);
        assertEquals(2, customer.queue().queuedUnits());
        assertEquals(2, customer.queue().firstUnits());
        customer.queue().remove(request);
        customer.queue().remove(request);
        assertEquals(0, customer.queue().queuedUnits());
        assertTrue(customer.queue().isEmpty());
    }

    @Test
    void retriesOfClientsAreRejectedUntilTheGivenTime() {
        CustomerQueue customer = new CustomerQueue();
        assertFalse(customer.rejectsRetries(0));
        customer.rejectRetriesUntil(500);
        assertTrue(customer.rejectsRetries(499));
        assertFalse(customer.rejectsRetries(500));
    }

    @Test
    void latestStartLeavesTimeForTheResponseOrForARetryOfTheClient() {
        assertEquals(500, request(1, customer(), 700).latestStart(), "two mean latencies before it is useless");
        assertEquals(2000 - 1000 - MARGIN, request(1, customer(), 5000).latestStart(), "half of the time-out");
        assertEquals(0, request(1, customer(), 700).arrivedAt());
    }

    @Test
    void responseIsOfNoUseBeyondTheDeadline() {
        assertEquals(2000, request(1, customer(), 5000).usefulUntil());
        assertEquals(2000, request(1, customer(), 700).deadline());
    }

    @Test
    void refusedRequestIsRejectedOnceAndForgotten() {
        Customer customer = customer();
        PendingRequest request = request(1, customer, 700);
        requests.add(request);
        customer.queue().add(request);
        assertSame(request, requests.get(1));
        requests.refuse(request, FailureReason.HELD_TOO_LONG);
        assertEquals(List.of("reject 1 2000.0 HELD_TOO_LONG"), host.take());
        assertTrue(request.isCompleted());
        assertTrue(customer.queue().isEmpty());
        assertNull(requests.get(1));
    }

    @Test
    void modeIsTheMostFrequentNumberAndFollowsAChange() {
        DecayingMode mode = new DecayingMode(4, 10);
        assertEquals(3, mode.add(3));
        assertEquals(3, mode.add(1), "the first of two");
        assertEquals(1, mode.add(1));
        for (int i = 0; i < 50; i++) {
            mode.add(1);
        }
        int samples = 0;
        while (mode.add(2) != 2) {
            samples++;
        }
        assertTrue(samples < 12, "counts are halved: " + samples);
    }

    @Test
    void clientThatWaitsLessThanTheOthersHasWaitedBefore() {
        WaitEstimator waits = new WaitEstimator(PolicyValues.READ);
        for (int i = 0; i < 20; i++) {
            assertEquals(0, waits.waitedBefore(2000));
        }
        assertEquals(700, waits.waitedBefore(1300));
        assertEquals(0, waits.waitedBefore(1950), "a 32nd part is no difference");
    }
}
