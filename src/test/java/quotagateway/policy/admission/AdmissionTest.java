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
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.traffic.TrafficMeter;

/** Tests of the parts of admission that need neither a quota nor an endpoint. */
class AdmissionTest {
    private static final double MARGIN = 4;

    private final ClassLatency read = new ClassLatency(PolicyFixtures.READ); // mean latency 100 ms
    private final RecordingActions host = new RecordingActions();
    private final OpenRequests requests = new OpenRequests(
            PolicyFixtures.settings(1).capabilities(), new IdempotencyRule(MARGIN), new TrafficMeter(), host);
    private final AdmissionQueue queue = new AdmissionQueue();

    private static Customer customer() {
        return new Customer(new CustomerQueue(), null);
    }

    /** Returns a request that arrived at 0, has a timeout of 2 s and earns its full worth for the given time. */
    private PendingRequest request(long id, Customer customer, double objectiveMs) {
        IncomingRequest incoming = new IncomingRequest(id, "read", "rate", "c", 2000, 2, 1, 0, false);
        return new PendingRequest(incoming, customer, read, 0, objectiveMs, MARGIN, id);
    }

    /** Sends waiting requests up to a maximum and returns their ids in the order of sending. */
    private List<Long> sendUpTo(int maxSends, Customer blocked) {
        List<Long> sent = new ArrayList<>();
        queue.sendWaiting(request -> {
            if (request.customer().equals(blocked)) {
                return AdmissionQueue.SendResult.CUSTOMER_BLOCKED;
            }
            if (sent.size() == maxSends) {
                return AdmissionQueue.SendResult.ALL_BLOCKED;
            }
            request.customer().queue().remove(request);
            sent.add(request.id());
            return AdmissionQueue.SendResult.SENT;
        });
        return sent;
    }

    @Test
    void customersAreServedInTurnByEarliestObjectiveDeadline() {
        Customer one = customer();
        Customer other = customer();
        queue.add(request(1, one, 700));
        queue.add(request(2, one, 500));
        queue.add(request(3, one, 700));
        queue.add(request(4, other, 900));
        assertEquals(List.of(2L, 4L, 1L, 3L), sendUpTo(10, null));
        assertEquals(List.of(), sendUpTo(10, null));
        assertFalse(one.queue().isInRotation());
    }

    @Test
    void blockedCustomerDoesNotBlockOthers() {
        Customer blocked = customer();
        Customer other = customer();
        queue.add(request(1, blocked, 700));
        queue.add(request(2, other, 700));
        queue.add(request(3, other, 700));
        assertEquals(List.of(2L, 3L), sendUpTo(10, blocked));
        assertEquals(List.of(1L), sendUpTo(10, null));
    }

    @Test
    void nothingIsSentIfAllCustomersAreBlocked() {
        Customer one = customer();
        Customer other = customer();
        queue.add(request(1, one, 700));
        queue.add(request(2, other, 700));
        assertEquals(List.of(1L), sendUpTo(1, null));
        assertEquals(List.of(2L), sendUpTo(1, null), "the other customer's turn");
    }

    @Test
    void queueCountsWaitingUnits() {
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
    void clientRetriesAreRejectedUntilTheGivenTime() {
        CustomerQueue customer = new CustomerQueue();
        assertFalse(customer.rejectsRetries(0));
        customer.rejectRetriesUntil(500);
        assertTrue(customer.rejectsRetries(499));
        assertFalse(customer.rejectsRetries(500));
    }

    @Test
    void latestStartLeavesTimeForAResponseOrAClientRetry() {
        assertEquals(
                500, request(1, customer(), 700).latestStart(), "two mean latencies before the objective deadline");
        assertEquals(
                2000 - 1000 - MARGIN,
                request(1, customer(), 5000).latestStart(),
                "half of the timeout less the margin");
        assertEquals(0, request(1, customer(), 700).arrivedAt());
    }

    @Test
    void objectiveDeadlineIsAtMostTheDeadline() {
        assertEquals(2000, request(1, customer(), 5000).objectiveDeadline());
        assertEquals(2000, request(1, customer(), 700).deadline());
    }

    @Test
    void rejectedRequestIsRejectedOnceAndRemoved() {
        Customer customer = customer();
        PendingRequest request = request(1, customer, 700);
        requests.add(request);
        customer.queue().add(request);
        assertSame(request, requests.get(1));
        requests.rejectOrFail(request, FailureReason.HELD_TOO_LONG);
        assertEquals(List.of("reject 1 2000.0 HELD_TOO_LONG"), host.take());
        assertTrue(request.isCompleted());
        assertTrue(customer.queue().isEmpty());
        assertNull(requests.get(1));
    }

    @Test
    void modeIsTheMostFrequentValueAndFollowsChanges() {
        DecayingMode mode = new DecayingMode(4, 10);
        assertEquals(3, mode.add(3));
        assertEquals(3, mode.add(1), "of two equally frequent values, the first");
        assertEquals(1, mode.add(1));
        for (int i = 0; i < 50; i++) {
            mode.add(1);
        }
        int samples = 0;
        while (mode.add(2) != 2) {
            samples++;
        }
        assertTrue(samples < 12, "samples until the mode follows, as counts are halved: " + samples);
    }

    @Test
    void clientWithAShorterTimeoutHasWaitedBefore() {
        WaitEstimator waitEstimator = new WaitEstimator(PolicyFixtures.READ);
        for (int i = 0; i < 20; i++) {
            assertEquals(0, waitEstimator.recordAndEstimateWait(2000));
        }
        assertEquals(700, waitEstimator.recordAndEstimateWait(1300));
        assertEquals(0, waitEstimator.recordAndEstimateWait(1950), "a difference of one bucket is ignored");
    }
}
