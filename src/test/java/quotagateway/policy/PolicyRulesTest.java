package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.IncomingRequest;

/** Checks the rules that the policy as a unit follows: responses, retries, slow start, send rate and hard limits. */
class PolicyRulesTest {
    private static final int MAX_CUSTOMERS = 8192;

    @Test
    void everyRequestGetsOneResponseByItsDeadline() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        gateway.request(1, "once", "big", "c");
        gateway.advanceTo(2015);
        assertEquals(1, gateway.countActions("fail 1"), "sent without a response: failed at the deadline");
        gateway.endAttempt(1, 0, CallOutcome.CANCELLED);
        gateway.advanceTo(4000);
        assertEquals(1, gateway.countActions("fail 1") + gateway.countActions("refuse 1"));
    }

    @Test
    void waitingRequestIsRejectedIfThereIsNoEndpoint() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start();
        gateway.request(1, "once", "big", "c");
        gateway.advanceTo(2000);
        assertEquals(1, gateway.countActions("refuse 1"));
        assertEquals(0, gateway.countActions("send"));
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItWasNotExecuted() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(4);
        gateway.request(1, "once", "big", "c");
        gateway.endAttempt(1, 0, CallOutcome.FULL);
        assertEquals(2, gateway.countActions("send 1"));
        gateway.endAttempt(1, 1, CallOutcome.ERROR);
        assertEquals(2, gateway.countActions("send 1"));
        assertEquals(1, gateway.countActions("fail 1"));
        assertEquals(0, gateway.countActions("refuse 1"));
    }

    /** The attempt is never written: its endpoint begins to drain while the attempt waits for a connection. */
    @Test
    void requestWhoseEndpointDrainsBeforeTheWriteIsRetriedElsewhereImmediately() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(4);
        gateway.request(1, "once", "big", "c");
        String first = gateway.lastEndpointOf(1);
        int number = Integer.parseInt(first.substring(1));
        gateway.policy.onEndpoints(
                gateway.now, List.of(PolicyHarness.endpoint(number, EndpointState.DRAINING, 0)), false);
        assertEquals(1, gateway.countActions("send 1"), "the node ends the waiting attempt");
        gateway.endAttempt(1, 0, CallOutcome.NO_CONNECTION);
        assertEquals(2, gateway.countActions("send 1"), "retried in the same event");
        assertNotEquals(first, gateway.lastEndpointOf(1));
    }

    @Test
    void keyedRequestIsRetriedInItsCellAndIsNotRejected() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(6);
        gateway.request(1, "cell", "big", "c");
        int first = Integer.parseInt(gateway.lastEndpointOf(1).substring(1));
        gateway.endAttempt(1, 0, CallOutcome.ERROR);
        int second = Integer.parseInt(gateway.lastEndpointOf(1).substring(1));
        assertEquals(first / 2, second / 2);
        assertNotEquals(first, second);
        gateway.advanceTo(2015);
        assertEquals(0, gateway.countActions("refuse 1"));
        assertEquals(1, gateway.countActions("fail 1"));
    }

    @Test
    void keyedRequestIsRetriedInItsZone() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(4);
        gateway.request(1, "zone", "big", "c");
        int first = Integer.parseInt(gateway.lastEndpointOf(1).substring(1));
        gateway.endAttempt(1, 0, CallOutcome.ERROR);
        assertEquals(first / 2 % 2, Integer.parseInt(gateway.lastEndpointOf(1).substring(1)) / 2 % 2);
    }

    @Test
    void keyedRequestIsNotRetriedAfterItsWindow() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(4);
        gateway.hedging = false;
        gateway.request(1, "all", "big", "c");
        long before = gateway.countActions("send 1");
        gateway.advanceTo(399);
        assertEquals(before, gateway.countActions("send 1"), "an attempt is in flight, and hedging is forbidden");
        gateway.endAttempt(1, 0, CallOutcome.ERROR);
        gateway.advanceTo(600);
        assertEquals(before, gateway.countActions("send 1"), "the idempotency window of 400 ms has passed");
    }

    @Test
    void neverTwoAttemptsInFlightIfHedgingIsForbidden() {
        PolicyHarness gateway = PolicyHarness.withoutCounter();
        gateway.hedging = false;
        gateway.start().listEndpoints(4);
        gateway.request(1, "read", "big", "c");
        gateway.advanceTo(550);
        assertEquals(1, gateway.countActions("send 1"));
    }

    @Test
    void drainingEndpointGetsNoNewRequests() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        gateway.policy.onEndpoints(gateway.now, List.of(PolicyHarness.endpoint(0, EndpointState.DRAINING, 0)), false);
        for (int i = 1; i <= 4; i++) {
            gateway.request(i, "read", "big", "c");
        }
        gateway.advanceTo(500);
        assertTrue(gateway.log.stream().noneMatch(l -> l.startsWith("send") && l.endsWith(" s0")));
        assertTrue(gateway.countActions("send") > 0);
    }

    @Test
    void endpointInSlowStartGetsNoMoreThanItsBudget() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        gateway.now = 1000;
        gateway.policy.onEndpoints(gateway.now, List.of(PolicyHarness.endpoint(0, EndpointState.UP, 900)), false);
        for (int i = 0; i < 200; i++) {
            gateway.advanceTo(1000 + i * 5);
            gateway.request(i, "read", "big", "c");
            if (i >= 40) {
                gateway.endAttempt(i - 40, 0, CallOutcome.OK);
            }
        }
        long sentToSlowStart = gateway.log.stream()
                .filter(l -> l.startsWith("send") && l.endsWith(" s0"))
                .count();
        assertTrue(
                sentToSlowStart >= 1 && sentToSlowStart <= 25,
                "a quarter is 50, half of that would be 25: " + sentToSlowStart);
    }

    @Test
    void hundredGatewaysTogetherStayWithinTheSlowStartBudget() {
        int sentToSlowStart = 0;
        for (int n = 0; n < 100; n++) {
            PolicyHarness gateway = PolicyHarness.withoutCounter();
            gateway.seed = n;
            gateway.start().listEndpoints(4);
            long id = 0;
            for (int t = 0; t < 4000; t += 400) { // 2.5 per second at each gateway, 62 at each endpoint
                gateway.advanceTo(t);
                if (t == 2000) {
                    gateway.policy.onEndpoints(t, List.of(PolicyHarness.endpoint(0, EndpointState.UP, 1900)), false);
                }
                gateway.request(++id, "read", "big", "c");
                sentToSlowStart += t >= 2000 && "s0".equals(gateway.lastEndpointOf(id)) ? 1 : 0;
                if (t < 1200) { // later ones stay in flight, so that the cold endpoint looks idle
                    gateway.endAttempt(id, 0, CallOutcome.OK);
                }
            }
        }
        assertTrue(
                sentToSlowStart > 0 && sentToSlowStart < 60,
                "a warm endpoint gets 125 in 2 s, a fifth of that is 25: " + sentToSlowStart);
    }

    @Test
    void endpointThatFailsOneClassIsAvoidedForItAndServesTheOthers() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        for (int i = 0; i < 20; i++) {
            gateway.advanceTo(i * 200);
            gateway.request(i, "read", "big", "c");
            for (int k = 0;
                    k < 5 && gateway.lastEndpointOf(i).equals("s0") && gateway.countActions("send " + i + " ") == k + 1;
                    k++) {
                gateway.endAttempt(i, k, CallOutcome.ERROR);
            }
            gateway.policy.onAttemptEnded(
                    gateway.now,
                    i,
                    (int) gateway.countActions("send " + i + " ") - 1,
                    CallOutcome.OK,
                    75,
                    true,
                    0,
                    new double[0]);
            gateway.request(100 + i, "once", "big", "c");
            gateway.policy.onAttemptEnded(gateway.now, 100 + i, 0, CallOutcome.OK, 75, true, 0, new double[0]);
        }
        long failed =
                gateway.log.stream().filter(l -> l.matches("send \\d\\d? s0")).count();
        long others =
                gateway.log.stream().filter(l -> l.matches("send 1\\d\\d s0")).count();
        assertTrue(failed <= 4, "sent to the endpoint that fails the class: " + failed);
        assertTrue(others >= 5, "requests of the other class sent there: " + others);
    }

    @Test
    void idempotentRequestsAreRetriedElsewhereEvenIfManyFail() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(4);
        for (int i = 0; i < 30; i++) {
            gateway.advanceTo(i * 100);
            gateway.request(i, "read", "big", "c");
            String first = gateway.lastEndpointOf(i);
            gateway.endAttempt(i, 0, CallOutcome.ERROR);
            gateway.advanceTo(i * 100 + 30);
            assertNotEquals(first, gateway.lastEndpointOf(i), "request " + i);
            gateway.endAttempt(i, 1, CallOutcome.OK);
        }
    }

    @Test
    void lateResponsesLowerTheSendRateAndTimelyOnesRaiseItAgain() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(8);
        long sent = 0;
        for (int i = 0; i < 600; i++) {
            gateway.advanceTo(i * 50);
            sent = i == 200 || i == 500 ? gateway.countActions("send") : sent;
            gateway.request(i, "read", "big", "c");
            boolean late = i < 300;
            for (int k = Math.max(0, i - 20); k <= i; k++) {
                gateway.policy.onAttemptEnded(
                        gateway.now, k, 0, CallOutcome.OK, late ? 500 : 20, true, 0, new double[0]);
            }
            if (i == 299) {
                assertTrue(
                        gateway.countActions("send") - sent < 60, "of 100: " + (gateway.countActions("send") - sent));
            }
        }
        assertTrue(gateway.countActions("send") - sent > 90, "of 100: " + (gateway.countActions("send") - sent));
    }

    @Test
    void hardLimitStartsEmptyAndFillsAtTheEvenShare() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(4);
        for (int i = 0; i < 100; i++) {
            gateway.advanceTo(i * 50);
            gateway.request(i, "read", "ceiling", "c");
        }
        long sent = gateway.log.stream()
                .filter(l -> l.startsWith("send"))
                .map(l -> l.split(" ", 0)[1])
                .distinct()
                .count();
        assertTrue(sent >= 8 && sent <= 10, "2 per second for 5 s: " + sent);
    }

    @Test
    void unexpectedEventsChangeNothing() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start();
        gateway.policy.onEndpoints(0, List.of(), true);
        gateway.policy.onClientDisconnected(0, 99);
        gateway.policy.onAttemptEnded(0, 99, 0, CallOutcome.OK, 1, true, 0, new double[0]);
        gateway.policy.onTimer(0, 12345);
        gateway.policy.onHealthCheck(0, "s9", CallOutcome.OK, 1, new double[0]);
        gateway.policy.onCounterReply(0, 5, CallOutcome.OK, 1, 3);
        gateway.policy.onResponseStarted(0, 99, 0);
        assertEquals(0, gateway.countActions("send"));
        assertNull(gateway.lastEndpointOf(99));
    }

    /**
     * Guards against a single failed connect or reset being taken for a restart: warm endpoints then got as few
     * requests as cold ones.
     */
    @Test
    void oneFailedConnectDoesNotStartSlowStart() {
        for (CallOutcome outcome : List.of(CallOutcome.NO_CONNECTION, CallOutcome.RESET)) {
            PolicyHarness gateway = PolicyHarness.withoutCounter();
            gateway.gatewayCount = 1; // with more gateways the initial send rate is the bound
            gateway.start().listEndpoints(1);
            gateway.request(1, "read", "big", "c");
            gateway.endAttempt(1, 0, outcome);
            gateway.endAttempt(1, 1, CallOutcome.OK);
            long before = gateway.countActions("send");
            for (int i = 10; i < 20; i++) {
                gateway.request(i, "read", "big", "c");
            }
            assertEquals(4, gateway.countActions("send") - before, "as many as a warm endpoint gets: " + outcome);
        }
    }

    /** Guards against ending a request while its value still arrives: its time starts only then (review/7). */
    @Test
    void requestThatIsStillArrivingIsNotEndedAtItsClientsTimeout() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        gateway.request(1, "once", "big", "whole");
        gateway.policy.onRequest(
                gateway.now, new IncomingRequest(2, "once", "big", "arriving", 2000, 1, 2, 0, false, true));
        gateway.advanceTo(60_000);
        assertEquals(1, gateway.countActions("fail 1"));
        assertEquals(0, gateway.countActions("fail 2"));
        gateway.endAttempt(2, 0, CallOutcome.TIMEOUT); // by the host, at its time
        assertEquals(1, gateway.countActions("fail 2"));
    }

    /**
     * Guards against memory that grows with the names that clients choose (picture b): the number of customers is
     * limited, and a request of another one is rejected while all of them have open requests.
     */
    @Test
    void customersBeyondTheLimitAreRejectedOnlyWhileAllHaveOpenRequests() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        for (int i = 0; i < MAX_CUSTOMERS; i++) {
            gateway.request(i, "read", "rate", "open " + i);
        }
        assertEquals(0, gateway.countActions("refuse"));
        gateway.request(MAX_CUSTOMERS, "read", "rate", "one more");
        assertEquals(1, gateway.countActions("refuse " + MAX_CUSTOMERS));
        gateway.advanceTo(5000); // all have ended, one way or another
        for (int i = 0; i < MAX_CUSTOMERS; i++) {
            gateway.endAttempt(i, 0, CallOutcome.OK);
        }
        long refused = gateway.countActions("refuse");
        for (int i = 1; i <= MAX_CUSTOMERS; i++) {
            gateway.request(2 * MAX_CUSTOMERS + i, "read", "big", "new " + i);
            gateway.endAttempt(2 * MAX_CUSTOMERS + i, 0, CallOutcome.OK);
        }
        assertTrue(gateway.countActions("refuse") - refused < MAX_CUSTOMERS / 2);
    }
}
