package quotagateway.log;

import java.net.InetSocketAddress;
import java.util.Collection;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.lifecycle.StreamEnd;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.FailureReason;

/**
 * An event of the event log, written as one line of the form {@code name key=value ...}; requests appear with their
 * client's id. The lines are concatenated by hand, as a record's own {@code toString} is linked at run time, which
 * would slow down every start.
 */
public sealed interface NodeEvent {
    /** Returns the line without its time. */
    String text();

    /** The client's id of the request that the event concerns; null if it concerns none. */
    default String request() {
        return null;
    }

    /**
     * The gateway has entered a state.
     *
     * @param responsesDueInMs time until all responses are due, 0 if the state has no such time
     */
    record StateEntered(NodeState state, double responsesDueInMs) implements NodeEvent {
        @Override
        public String text() {
            return "state to=" + state
                    + (responsesDueInMs > 0 ? " answers_due_in_ms=" + Math.round(responsesDueInMs) : "");
        }
    }

    /**
     * A request was accepted.
     *
     * @param connection number of the client's connection
     * @param connectionAgeMs how long the connection had been open
     * @param commandsBefore number of earlier commands on the connection
     * @param timeoutMs how long the policy has for the request
     */
    record RequestAccepted(
            String request,
            String requestClass,
            long connection,
            double connectionAgeMs,
            int commandsBefore,
            double timeoutMs)
            implements NodeEvent {
        @Override
        public String text() {
            return "request_accepted request=" + request + " class=" + requestClass + " connection=" + connection
                    + " connection_age_ms=" + Math.round(connectionAgeMs) + " commands_before=" + commandsBefore
                    + " timeout_ms=" + Math.round(timeoutMs);
        }
    }

    /** An attempt is sent; the previous outcome is that of the attempt before it, null for the first one. */
    record AttemptSent(String request, int attempt, String endpoint, CallOutcome previousOutcome) implements NodeEvent {
        @Override
        public String text() {
            return "attempt_sent request=" + request + " attempt=" + attempt + " endpoint=" + endpoint
                    + (previousOutcome == null ? "" : " previous_outcome=" + previousOutcome);
        }
    }

    /** An attempt has ended, {@code tookMs} after it was sent. */
    record AttemptEnded(String request, int attempt, String endpoint, CallOutcome outcome, double tookMs)
            implements NodeEvent {
        @Override
        public String text() {
            return "attempt_ended request=" + request + " attempt=" + attempt + " endpoint=" + endpoint + " outcome="
                    + outcome + " took_ms=" + Math.round(tookMs);
        }
    }

    /** A request has its final response; the reason says why it was not served, and is null if it was. */
    record RequestCompleted(String request, RequestOutcome outcome, FailureReason reason) implements NodeEvent {
        @Override
        public String text() {
            return "request_completed request=" + request + " outcome=" + outcome
                    + (reason == null ? "" : " reason=" + reason);
        }
    }

    /**
     * A streamed response has ended, after so many of its bytes were written to the client's connection. It had been
     * held up by its client for {@code clientBlockedMs} and by its endpoint for {@code endpointSilentMs}, or for 0.
     */
    record StreamEnded(
            String request,
            StreamEnd end,
            int writtenBytes,
            int length,
            double clientBlockedMs,
            double endpointSilentMs)
            implements NodeEvent {
        @Override
        public String text() {
            return "stream_ended request=" + request + " end=" + end + " written=" + writtenBytes + " length=" + length
                    + " client_blocked_ms=" + Math.round(clientBlockedMs) + " endpoint_silent_ms="
                    + Math.round(endpointSilentMs);
        }
    }

    /** The client of a request has disconnected. */
    record RequestAbandoned(String request) implements NodeEvent {
        @Override
        public String text() {
            return "request_abandoned request=" + request;
        }
    }

    /**
     * A client's connection has ended, with this number of unanswered commands. The reason is why it was to end; the
     * socket was closed by this node, or by the client, which then has received everything.
     */
    record ClientConnectionClosed(
            long connection, CloseReason reason, boolean closedByNode, double ageMs, int commands, int unanswered)
            implements NodeEvent {
        @Override
        public String text() {
            return "client_connection_closed connection=" + connection + " reason=" + reason + " age_ms="
                    + Math.round(ageMs) + " commands=" + commands + " unanswered=" + unanswered + " closed_by="
                    + (closedByNode ? "NODE" : "CLIENT");
        }
    }

    /** A connection to an endpoint has ended. */
    record EndpointConnectionClosed(String endpoint, CloseReason reason) implements NodeEvent {
        @Override
        public String text() {
            return "endpoint_connection_closed endpoint=" + endpoint + " reason=" + reason;
        }
    }

    /** A step of a call to discovery, with the list version that the call requested or received; -1 for none. */
    record DiscoveryCall(InetSocketAddress address, Step step, long version) implements NodeEvent {
        /** The steps of a call. */
        public enum Step {
            ADDRESS_CHANGED,
            CONNECT_FAILED,
            LIST_REQUESTED,
            WATCH_REQUESTED,
            CHANGES_RECEIVED,
            LIST_RECEIVED,
            REJECTED,
            TIMED_OUT,
            CLOSED
        }

        @Override
        public String text() {
            return "discovery_call step=" + step + " address=" + address.getHostString() + ":" + address.getPort()
                    + " version=" + version;
        }
    }

    /** An endpoint is draining or was removed, according to the endpoint list. */
    record EndpointLeaving(String endpoint, EndpointState state) implements NodeEvent {
        @Override
        public String text() {
            return "endpoint_leaving endpoint=" + endpoint + " state=" + state;
        }
    }

    /**
     * The cordons that apply have changed, by an operator's call to this process or by what the shared file contains.
     */
    record CordonsChanged(Source source, Collection<String> endpoints) implements NodeEvent {
        /** Where a change has come from. */
        public enum Source {
            OPERATOR,
            FILE
        }

        @Override
        public String text() {
            return "cordons_changed source=" + source + " endpoints=" + String.join(",", endpoints);
        }
    }

    /** An attempt that the policy had decided on was not written. */
    record AttemptDenied(String request, int attempt, SendDenial denial) implements NodeEvent {
        @Override
        public String text() {
            return "attempt_denied request=" + request + " attempt=" + attempt + " reason=" + denial;
        }
    }

    /** An invariant of this program was violated; the request is null if the violation concerns none. */
    record InvariantViolated(Invariant invariant, String request) implements NodeEvent {
        @Override
        public String text() {
            return "invariant_violated invariant=" + invariant + (request == null ? "" : " request=" + request);
        }
    }

    /** The event loop ran a timer {@code lateMs} after it was due. */
    record EventLoopLate(double lateMs) implements NodeEvent {
        @Override
        public String text() {
            return "event_loop_late by_ms=" + Math.round(lateMs);
        }
    }
}
