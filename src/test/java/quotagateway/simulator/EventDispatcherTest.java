package quotagateway.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyEvents;

class EventDispatcherTest {
    /** Keeps every event as a line. */
    private static final class RecordingPolicy implements PolicyEvents {
        private final List<String> events = new ArrayList<>();

        private void record(Object... values) {
            events.add(Arrays.deepToString(values));
        }

        @Override
        public void onEndpoints(double now, List<EndpointDescriptor> endpoints, boolean complete) {
            record("endpoints", now, endpoints, complete);
        }

        @Override
        public void onDiscoveryFailed(double now) {
            record("discovery failed", now);
        }

        @Override
        public void onRequest(double now, IncomingRequest request) {
            record("request", now, request);
        }

        @Override
        public void onResponseStarted(double now, long requestId, int attempt) {
            record("response started", now, requestId, attempt);
        }

        @Override
        public void onAttemptEnded(
                double now,
                long requestId,
                int attempt,
                CallOutcome outcome,
                double tookMs,
                boolean completed,
                int actualUnits,
                double[] load) {
            record("attempt ended", now, requestId, attempt, outcome, tookMs, completed, actualUnits, load);
        }

        @Override
        public void onClientDisconnected(double now, long requestId) {
            record("client disconnected", now, requestId);
        }

        @Override
        public void onTimer(double now, long token) {
            record("timer", now, token);
        }

        @Override
        public void onHealthCheck(double now, String endpoint, CallOutcome outcome, double tookMs, double[] load) {
            record("health check", now, endpoint, outcome, tookMs, load);
        }

        @Override
        public void onCounterReply(double now, long name, CallOutcome outcome, double tookMs, double total) {
            record("counter reply", now, name, outcome, tookMs, total);
        }
    }

    private static List<String> dispatch(String lines) throws IOException {
        MessageReader message = new MessageReader(new BufferedReader(new StringReader(lines)));
        RecordingPolicy policy = new RecordingPolicy();
        message.readNonEmpty();
        new EventDispatcher(message).dispatch(policy, 5);
        return policy.events;
    }

    private static String error(String lines) {
        return assertThrows(MalformedInputException.class, () -> dispatch(lines))
                .getMessage();
    }

    @Test
    void requestCarriesAllOfItsFields() throws IOException {
        assertEquals(
                List.of("[request, 5.0, IncomingRequest[id=7, requestClass=read, plan=p, customer=91f0,"
                        + " clientTimeout=500.0, units=2, gatewayCount=3, firstGateway=1, retry=true,"
                        + " arriving=false]]"),
                dispatch("ARRIVAL\t7\tread\tp\t91f0\t500.0\t2\t3\t1\t1\t0"));
    }

    @Test
    void endOfAnAttemptCarriesOutcomeUnitsAndLoad() throws IOException {
        assertEquals(
                List.of("[attempt ended, 5.0, 7, 2, FULL, 18.5, true, 3, [0.5, NaN]]"),
                dispatch("ENDED\t7\t0\t1\t2\tF\t18.5\ts\t3\t0.5,-"));
        assertEquals(
                List.of("[attempt ended, 5.0, 7, 2, OK, 18.5, false, 0, []]"),
                dispatch("ENDED\t7\t0\t0\t2\tS\t18.5\ts\t-\t-"));
    }

    @Test
    void otherEventsCarryTheirFields() throws IOException {
        assertEquals(List.of("[response started, 5.0, 7, 1]"), dispatch("ACK_FIRST\t7\t0\t0\t1"));
        assertEquals(List.of("[client disconnected, 5.0, 7]"), dispatch("CANCELLED_BY_CLIENT\t7"));
        assertEquals(List.of("[timer, 5.0, 3]"), dispatch("REMINDER\t3"));
        assertEquals(List.of("[health check, 5.0, s, TIMEOUT, 9.0, []]"), dispatch("PROBE_RESULT\ts\tT\t9\t-"));
        assertEquals(List.of("[counter reply, 5.0, 42, OK, 2.0, 8.0]"), dispatch("COUNTER_REPLY\tS\t42\t2\t8"));
        assertEquals(List.of("[counter reply, 5.0, 42, RESET, 2.0, 0.0]"), dispatch("COUNTER_REPLY\tR\t42\t2\t-"));
        assertEquals(List.of(), dispatch("DATAGRAM\t1"));
    }

    @Test
    void snapshotIsCompleteAndADiffIsNot() throws IOException {
        String item = "ITEM\t4\tz\ts1\tfading\tk\t-\t2\n";
        String endpoint = "EndpointDescriptor[id=s1, cell=4, zone=z, state=DRAINING, kind=k, startedAt=0.0,"
                + " weight=2.0, address=0]";
        assertEquals(
                List.of("[endpoints, 5.0, [" + endpoint + "], true]"), dispatch("MEMBERSHIP\tsnapshot\t1\t1\n" + item));
        assertEquals(
                List.of("[endpoints, 5.0, [" + endpoint + "], false]"), dispatch("MEMBERSHIP\tdiff\t1\t1\n" + item));
        assertEquals(List.of("[discovery failed, 5.0]"), dispatch("MEMBERSHIP\terror\t1\t0\n"));
    }

    @Test
    void unknownValuesAreErrorsOfTheirField() {
        assertEquals("line 1, field message: unknown event 'X'", error("X"));
        assertEquals("line 1, field outcome: unknown outcome 'Q'", error("COUNTER_REPLY\tQ\t42\t2\t8"));
        assertEquals("line 1, field kind: unknown list kind 'x'", error("MEMBERSHIP\tx\t1\t0"));
        assertEquals(
                "line 2, field condition: unknown condition 'x'",
                error("MEMBERSHIP\tdiff\t1\t1\nITEM\t4\tz\ts1\tx\tk\t-\t2"));
        assertEquals("line 2, field message: ITEM expected, found 'GO'", error("MEMBERSHIP\tdiff\t1\t1\nGO"));
        assertEquals("line 2, field items: the input ends inside a list", error("MEMBERSHIP\tdiff\t1\t1"));
    }
}
