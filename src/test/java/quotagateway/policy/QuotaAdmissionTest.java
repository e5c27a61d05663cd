package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.IncomingRequest;

/** Tests which requests are admitted by their quota, wait or are rejected. */
class QuotaAdmissionTest {
    private static final CallOutcome OK = CallOutcome.OK;

    /** The plan of a customer's first request was applied to all its later requests. */
    @Test
    void requestCountsAgainstTheQuotaOfItsOwnPlan() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 8; i++) {
            gateway.request(i, "read", "rate", "c");
            gateway.replyToCounterCalls(OK);
        }
        gateway.request(10, "read", "big", "c", 3, 2);
        gateway.replyToCounterCalls(OK);
        assertEquals(1, gateway.countActions("send 10"), "the plan big has a thousand units a second: " + gateway.log);
        gateway.request(11, "read", "rate", "c");
        gateway.replyToCounterCalls(OK);
        assertEquals(0, gateway.countActions("send 11"), "the burst of 8 is used up");
    }

    @Test
    void withoutRoomForCallsRequestsAreAdmittedOnAnEstimateAndReportedLater() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 1000; // the initial window is one call
        gateway.start().listEndpoints(2000);
        for (int i = 0; i < 12; i++) {
            gateway.request(i, "read", "rate", "c" + i);
        }
        assertEquals(1, gateway.countActions("count 1.0"));
        assertEquals(0, gateway.countActions("send"), "without a reading, requests wait for a counter call");
        gateway.advanceTo(260);
        assertEquals(11, gateway.countActions("send"), "no customer was short of units so far");
        gateway.replyToCounterCalls(OK);
        gateway.log.clear();
        gateway.request(20, "read", "rate", "c5");
        assertEquals(1, gateway.countActions("count 2.0"), "1 unit spent on an estimate, and 1 of this request");
    }

    @Test
    void actualUnitsAreReportedWithTheNextClaim() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.reportsActualUnits = true;
        gateway.maxUnits = 4;
        gateway.start().listEndpoints(8);
        gateway.request(1, "read", "rate", "c", 1, 2);
        gateway.replyToCounterCalls(OK);
        gateway.policy.onAttemptEnded(0, 1, 0, OK, 20, true, 4, new double[0]);
        gateway.request(2, "read", "rate", "c", 1, 2);
        assertEquals(1, gateway.countActions("count 4.0"), "3 more units of the first request, and 1 of this one");
    }

    @Test
    void openRequestsAreBoundedByTheCountOnTheCounter() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        gateway.request(1, "read", "open", "c");
        assertEquals(0, gateway.countActions("send"), "no request is sent before the counter replies");
        gateway.replyToCounterCalls(OK);
        assertEquals(1, gateway.countActions("send 1"));
        gateway.request(2, "read", "open", "c");
        long name = gateway.counterCalls.remove(0).name();
        gateway.policy.onCounterReply(0, name, OK, 2, 4);
        assertEquals(0, gateway.countActions("send 2"), "it would be the fourth of three slots");
        assertEquals(1, gateway.countActions("count -1.0"), "the slot is returned");
        gateway.endAttempt(1, 0, OK);
        assertEquals(1, gateway.countActions("send 2"), "the slot of the first request is reused");
    }

    @Test
    void withoutCounterCallsOneRequestAtATimeIsOpenWhileSlotsWereLastFree() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) { // the counter does not respond
            gateway.request(100 + i, "read", "open", "d" + i, 1, 100);
            gateway.replyToCounterCalls(CallOutcome.NO_CONNECTION);
        }
        gateway.log.clear();
        gateway.request(1, "read", "open", "c", 1, 100);
        gateway.request(2, "read", "open", "c", 1, 100);
        assertEquals(1, gateway.countActions("send"), "the even share of 3 slots over 100 gateways is below one");
        gateway.endAttempt(1, 0, OK);
        assertEquals(2, gateway.countActions("send"));
    }

    @Test
    void clientRetryIsRejectedWhileItsQuotaIsShort() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 30; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.replyToCounterCalls(OK);
        gateway.advanceTo(600);
        assertTrue(gateway.countActions("refuse") > 0);
        gateway.policy.onRequest(gateway.now, new IncomingRequest(99, "read", "rate", "c", 1500, 1, 2, 0, true));
        assertEquals(1, gateway.countActions("refuse 99"));
        gateway.policy.onRequest(gateway.now, new IncomingRequest(98, "read", "rate", "c", 1500, 1, 2, 0, false));
        assertEquals(0, gateway.countActions("refuse 98"));
    }

    /** A request that waited longer and was never sent would leave its client no time to retry. */
    @Test
    void requestWaitsForAtMostHalfOfItsClientTimeout() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 30; i++) {
            gateway.policy.onRequest(0, new IncomingRequest(i, "read", "rate", "c", 600, 1, 2, 0, false));
        }
        gateway.replyToCounterCalls(OK);
        gateway.replyToCounterCalls(OK);
        gateway.advanceTo(300);
        assertEquals(30, gateway.countActions("send") + gateway.countActions("refuse"), gateway.log.toString());
        assertTrue(gateway.countActions("refuse") > 0);
    }

    /**
     * A client timeout that is shorter than usual is what a retry has left of its deadline: after the latency
     * objective, the response is of no use.
     */
    @Test
    void lateRetryTakesNothingFromAShortQuota() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 30; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.replyToCounterCalls(OK);
        gateway.replyToCounterCalls(OK);
        gateway.policy.onRequest(0, new IncomingRequest(40, "read", "rate", "c", 1300, 1, 2, 0, false));
        assertEquals(1, gateway.countActions("refuse 40"), "700 ms have passed of a latency objective of 600 ms");
        gateway.policy.onRequest(0, new IncomingRequest(41, "read", "rate", "c", 1700, 1, 2, 0, false));
        assertEquals(0, gateway.countActions("refuse 41"), "300 ms of the objective are left");
        gateway.advanceTo(200);
        assertEquals(
                1, gateway.countActions("refuse 41") + gateway.countActions("send 41"), "not after the full objective");
        gateway.policy.onRequest(200, new IncomingRequest(42, "read", "rate", "d", 1300, 1, 2, 0, false));
        gateway.replyToCounterCalls(OK);
        assertEquals(1, gateway.countActions("send 42"), "with a full quota it takes nothing from other requests");
    }
}
