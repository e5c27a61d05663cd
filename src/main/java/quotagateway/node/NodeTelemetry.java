package quotagateway.node;

import quotagateway.admin.Metrics;
import quotagateway.client.ClientCommand;
import quotagateway.client.ResponseSlot;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.log.EventLog;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.Attempt;

/**
 * What operators learn of a node: each thing that happens to it is counted in the metrics and recorded in the event
 * log here, so that the two agree. All of it runs on the event loop.
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
     * Records an event that is not counted. Once the node has ended only states and violations are recorded: what
     * else comes then is the loop closing its own connections.
     */
    void record(NodeEvent event) {
        if (!nodeEnded || event instanceof NodeEvent.StateEntered || event instanceof NodeEvent.InvariantViolated) {
            eventLog.record(loop.now(), event);
        }
    }

    /** From here on events are written as they happen: the process may be killed at any time. */
    void writeImmediately() {
        eventLog.writeImmediately();
    }

    /** Writes out what has been recorded and not written. */
    void flush() {
        eventLog.flush();
    }

    // ---- the process ----

    /** The node has entered a state; responses are due within so long (ms), 0 where the state has no such time. */
    void onStateEntered(NodeState state, double responsesDueInMs) {
        nodeEnded = state == NodeState.ENDED;
        record(new NodeEvent.StateEntered(state, responsesDueInMs));
    }

    /** An invariant does not hold: the log also gets what led to it, where it concerns a request. */
    void onInvariantViolated(Invariant invariant, String requestId) {
        metrics.countViolation(invariant);
        if (requestId != null) {
            eventLog.explain(requestId);
        }
        record(new NodeEvent.InvariantViolated(invariant, requestId));
    }

    // ---- requests ----

    /** A request was accepted; its response is due within so long (ms). */
    void onRequestAccepted(ClientCommand command, ResponseSlot slot, double responseDueInMs) {
        record(new NodeEvent.RequestAccepted(
                command.id(),
                command.requestClass(),
                slot.connectionId(),
                slot.connectionAge(),
                slot.commandsBefore(),
                responseDueInMs));
    }

    /** A request has its final response; reason is null where it was fulfilled, or where the policy gave none. */
    void onRequestCompleted(ClientCommand command, RequestOutcome outcome, FailureReason reason) {
        metrics.countUnserved(outcome, reason);
        metrics.countCompleted(command.requestClass(), outcome);
        record(new NodeEvent.RequestCompleted(command.id(), outcome, reason));
    }

    /** The client of a request has disconnected before its response. */
    void onRequestAbandoned(ClientCommand command) {
        record(new NodeEvent.RequestAbandoned(command.id()));
    }

    /** A response that was streamed has ended; outcome is null where its client has disconnected. */
    void onStreamEnded(ClientCommand command, RequestOutcome outcome) {
        if (outcome != null) {
            metrics.countCompleted(command.requestClass(), outcome);
        }
    }

    // ---- attempts ----

    /** An attempt is sent; previous is the outcome of the one before it, null for the first. */
    void onAttemptSent(ClientCommand command, Attempt attempt, CallOutcome previous) {
        if (previous != null) {
            metrics.countRetry(previous);
        }
        record(new NodeEvent.AttemptSent(command.id(), attempt.number(), attempt.endpoint(), previous));
    }

    /** An attempt that the policy has decided on is not sent. */
    void onAttemptDenied(ClientCommand command, Attempt attempt, SendDenial denial) {
        metrics.countDenied(denial);
        record(new NodeEvent.AttemptDenied(command.id(), attempt.number(), denial));
    }

    /** The last byte of an attempt is written. */
    void onAttemptWritten() {
        metrics.countForwarded();
    }

    /** An attempt has ended, so long (ms) after it was sent. */
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
