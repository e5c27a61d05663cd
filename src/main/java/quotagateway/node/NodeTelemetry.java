package quotagateway.node;

import quotagateway.admin.Metrics;
import quotagateway.client.ClientCommand;
import quotagateway.client.ResponseSlot;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.lifecycle.StreamEnd;
import quotagateway.log.EventLog;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.Attempt;

/**
 * Reports the events of a node to operators: each is counted in the metrics and recorded in the event log, so that the
 * two agree. All methods are called on the event loop.
 */
final class NodeTelemetry {
    private final EventLoopContext loop;
    private final EventLog eventLog;
    private final Metrics metrics;
    private boolean nodeEnded;

    NodeTelemetry(EventLoopContext loop, EventLog eventLog, Metrics metrics) {
        this.loop = loop;
        this.eventLog = eventLog;
        this.metrics = metrics;
    }

    /**
     * Records an event that is not counted. Once the node has ended, only states and violations are recorded, as all
     * other events then come from the loop closing its own connections.
     */
    void record(NodeEvent event) {
        if (!nodeEnded || event instanceof NodeEvent.StateEntered || event instanceof NodeEvent.InvariantViolated) {
            eventLog.record(loop.now(), event);
        }
    }

    /** From now on events are written as they happen, as the process may be killed at any time. */
    void writeImmediately() {
        eventLog.writeImmediately();
    }

    /** Writes the events that are recorded and not written yet. */
    void flush() {
        eventLog.flush();
    }

    // ---- the process ----

    /** The node has entered a state; responses are due within this time (ms), 0 if the state has no such time. */
    void onStateEntered(NodeState state, double responsesDueInMs) {
        nodeEnded = state == NodeState.ENDED;
        record(new NodeEvent.StateEntered(state, responsesDueInMs));
    }

    /** An invariant is violated. If that concerns a request, the events that led to it are logged too. */
    void onInvariantViolated(Invariant invariant, String requestId) {
        metrics.countViolation(invariant);
        if (requestId != null) {
            eventLog.writeEventsOf(requestId);
        }
        record(new NodeEvent.InvariantViolated(invariant, requestId));
    }

    // ---- requests ----

    /** A request was accepted; its response is due within this time (ms). */
    void onRequestAccepted(ClientCommand command, ResponseSlot slot, double responseDueInMs) {
        record(new NodeEvent.RequestAccepted(
                command.id(),
                command.requestClass(),
                slot.connectionId(),
                slot.connectionAgeMs(),
                slot.commandsBefore(),
                responseDueInMs));
    }

    /** A request has its final response; the reason is null if it was fulfilled or the policy gave no reason. */
    void onRequestCompleted(ClientCommand command, RequestOutcome outcome, FailureReason reason) {
        metrics.countUnserved(outcome, reason);
        metrics.countCompleted(command.requestClass(), outcome);
        record(new NodeEvent.RequestCompleted(command.id(), outcome, reason));
    }

    /** A request was refused unparsed, as too much input of its connection was kept already. */
    void onRequestRefused() {
        metrics.countUnserved(RequestOutcome.THROTTLED, FailureReason.MEMORY_SHORT);
    }

    /** The client of a request has disconnected before the response. */
    void onRequestAbandoned(ClientCommand command) {
        record(new NodeEvent.RequestAbandoned(command.id()));
    }

    /** A streamed response has ended. A client that has disconnected has no outcome. */
    void onStreamEnded(ClientCommand command, StreamedResponse stream, StreamEnd end) {
        metrics.countStreamEnd(end);
        if (end == StreamEnd.COMPLETE) {
            metrics.countCompleted(command.requestClass(), RequestOutcome.FULFILLED);
        } else if (end != StreamEnd.CLIENT_GONE) {
            metrics.countCompleted(command.requestClass(), RequestOutcome.FAULTED);
        }
        record(new NodeEvent.StreamEnded(
                command.id(),
                end,
                stream.writtenBytes(),
                stream.length(),
                stream.clientBlockedMs(),
                stream.endpointSilentMs()));
    }

    // ---- attempts ----

    /** An attempt is sent; {@code previous} is the outcome of the attempt before it, null for the first one. */
    void onAttemptSent(ClientCommand command, Attempt attempt, CallOutcome previous) {
        if (previous != null) {
            metrics.countRetry(previous);
        }
        record(new NodeEvent.AttemptSent(command.id(), attempt.number(), attempt.endpoint(), previous));
    }

    /** An attempt that the policy decided on is not sent. */
    void onAttemptDenied(ClientCommand command, Attempt attempt, SendDenial denial) {
        metrics.countDenied(denial);
        record(new NodeEvent.AttemptDenied(command.id(), attempt.number(), denial));
    }

    /** The last byte of an attempt has been written. */
    void onAttemptWritten() {
        metrics.countForwarded();
    }

    /** An attempt has ended, this long (ms) after it was sent. */
    void onAttemptEnded(ClientCommand command, Attempt attempt, CallOutcome outcome, double tookMs) {
        record(new NodeEvent.AttemptEnded(command.id(), attempt.number(), attempt.endpoint(), outcome, tookMs));
    }

    // ---- connections ----

    /** A client's connection has ended. */
    void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed) {
        metrics.countClientClosed(closed.reason());
        record(closed);
    }

    /** A connection to an endpoint has ended. */
    void onEndpointConnectionClosed(String endpoint, CloseReason reason) {
        metrics.countEndpointClosed(reason);
        record(new NodeEvent.EndpointConnectionClosed(endpoint, reason));
    }
}
