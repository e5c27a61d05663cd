package quotagateway.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;

/** Checks which events the log keeps, and when it writes them. */
class EventLogTest {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final EventLog log = new EventLog(new PrintStream(written, true, StandardCharsets.UTF_8));

    private List<String> lines() {
        log.flush();
        List<String> lines = written.toString(StandardCharsets.UTF_8).lines().toList();
        written.reset();
        return lines;
    }

    @Test
    void eventsBeforeAShutdownAreBufferedAndNotWritten() {
        log.record(1000.7, new NodeEvent.RequestAbandoned("01"));
        assertEquals(List.of(), lines());
    }

    @Test
    void eventsDuringAShutdownAreWrittenImmediately() {
        log.writeImmediately();
        log.record(1000.7, new NodeEvent.StateEntered(NodeState.DRAINING, 2907.6));
        log.record(1001, new NodeEvent.RequestAccepted("01", "read", 7, 350.4, 2, 1500));
        log.record(1002, new NodeEvent.AttemptSent("01", 1, "s0", CallOutcome.RESET));
        log.record(1003, new NodeEvent.AttemptEnded("01", 1, "s0", CallOutcome.TIMEOUT, 12.4));
        log.record(1004, new NodeEvent.RequestCompleted("01", RequestOutcome.FAULTED, FailureReason.DEADLINE));
        log.record(1005, new NodeEvent.ClientConnectionClosed(7, CloseReason.SHUTDOWN_ANSWERED, false, 360, 3, 0));
        log.record(1006, new NodeEvent.EndpointConnectionClosed("s0", CloseReason.ATTEMPT_GIVEN_UP));
        assertEquals(
                List.of(
                        "t=1000 state to=DRAINING answers_due_in_ms=2908",
                        "t=1001 request_accepted request=01 class=read connection=7"
                                + " connection_age_ms=350 commands_before=2 timeout_ms=1500",
                        "t=1002 attempt_sent request=01 attempt=1 endpoint=s0 previous_outcome=RESET",
                        "t=1003 attempt_ended request=01 attempt=1 endpoint=s0 outcome=TIMEOUT took_ms=12",
                        "t=1004 request_completed request=01 outcome=FAULTED reason=DEADLINE",
                        "t=1005 client_connection_closed connection=7 reason=SHUTDOWN_ANSWERED"
                                + " age_ms=360 commands=3 unanswered=0 closed_by=CLIENT",
                        "t=1006 endpoint_connection_closed endpoint=s0 reason=ATTEMPT_GIVEN_UP"),
                lines());
    }

    @Test
    void onlyTheEventsOfTheGivenRequestAreWritten() {
        log.record(1, new NodeEvent.RequestAbandoned("01"));
        log.record(2, new NodeEvent.RequestAbandoned("02"));
        log.writeEventsOf("02");
        assertEquals(List.of("t=2 request_abandoned request=02"), lines());
    }

    @Test
    void recentEventsAreBounded() {
        for (int i = 0; i < 10_000; i++) {
            log.record(i, new NodeEvent.RequestAbandoned("01"));
        }
        log.writeEventsOf("01");
        List<String> lines = lines();
        assertEquals(256, lines.size());
        assertEquals("t=9999 request_abandoned request=01", lines.get(255));
    }

    @Test
    void writtenLinesAreBounded() {
        log.writeImmediately();
        for (int i = 0; i < 10_000; i++) {
            log.record(i, new NodeEvent.RequestAbandoned("01"));
        }
        assertEquals(4000, lines().size());
    }
}
