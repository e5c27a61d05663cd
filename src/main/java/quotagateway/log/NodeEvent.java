package quotagateway.log;

import java.net.InetSocketAddress;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.FailureReason;

/**
 * What the event log tells, one line an event, as {@code name key=value ...}. Times and ages are
 * milliseconds. The lines are put together by hand: a record's own toString links at run time, which a start
 * pays for.
 */
public sealed interface NodeEvent {
    /** The line without its time. */
    String text();

    /** The request that this is about, by the client's id; null where it is about none. */
    default String request() {
        return null;
    }

    /** The node has entered a state; bound tells how long until all answers are due, 0 for no such time. */
    record StateEntered(NodeState to, double bound) implements NodeEvent {
        @Override
        public String text() {
            return "state to=" + to + (bound > 0 ? " answers_due_in=" + Math.round(bound) : "");
        }
    }

    /** A request was taken on a client's connection of this age, which had sent so many commands before. */
    record RequestAccepted(String request, String type, long connection, double age, int commands, double patience)
            implements NodeEvent {
        @Override
        public String text() {
            return "taken request=" + request + " class=" + type + " connection=" + connection + " age="
                    + Math.round(age) + " commands_before=" + commands + " wait=" + Math.round(patience);
        }
    }

    /** An attempt goes out; after is the outcome of the one before it, null for the first. */
    record AttemptSent(String request, int attempt, String server, CallOutcome after) implements NodeEvent {
        @Override
        public String text() {
            return "sent request=" + request + " attempt=" + attempt + " server=" + server
                    + (after == null ? "" : " retry_after=" + after);
        }
    }

    /** An attempt has ended, so long after it began. */
    record AttemptEnded(String request, int attempt, String server, CallOutcome outcome, double took)
            implements NodeEvent {
        @Override
        public String text() {
            return "ended request=" + request + " attempt=" + attempt + " server=" + server + " outcome=" + outcome
                    + " took=" + Math.round(took);
        }
    }

    /** A request has its final answer; reason tells why it was not served, and is null where it was. */
    record RequestCompleted(String request, RequestOutcome outcome, FailureReason reason) implements NodeEvent {
        @Override
        public String text() {
            return "answered request=" + request + " outcome=" + outcome + (reason == null ? "" : " reason=" + reason);
        }
    }

    /** The client of a request has gone. */
    record RequestAbandoned(String request) implements NodeEvent {
        @Override
        public String text() {
            return "abandoned request=" + request;
        }
    }

    /** A client's connection has ended, with so many commands unanswered. */
    record ClientConnectionClosed(long connection, CloseReason reason, double age, int commands, int unanswered)
            implements NodeEvent {
        @Override
        public String text() {
            return "client_closed connection=" + connection + " reason=" + reason + " age=" + Math.round(age)
                    + " commands=" + commands + " unanswered=" + unanswered;
        }
    }

    /** A connection to a place server has ended. */
    record EndpointConnectionClosed(String server, CloseReason reason) implements NodeEvent {
        @Override
        public String text() {
            return "server_closed server=" + server + " reason=" + reason;
        }
    }

    /** What became of a call to discovery, and the version of the list that it asked from or was told. */
    record DiscoveryCall(InetSocketAddress at, Step step, long version) implements NodeEvent {
        /** The steps of a call. */
        public enum Step {
            MOVED,
            UNREACHED,
            LIST_ASKED,
            WATCH_ASKED,
            TOLD,
            TOLD_WHOLE,
            REFUSED,
            SILENT,
            ENDED
        }

        @Override
        public String text() {
            return "discovery step=" + step + " at=" + at.getHostString() + ":" + at.getPort() + " version=" + version;
        }
    }

    /** A place server wants nothing new, or has gone, as discovery tells. */
    record EndpointLeaving(String server, EndpointState state) implements NodeEvent {
        @Override
        public String text() {
            return "server_leaves server=" + server + " state=" + state;
        }
    }

    /** An attempt was not written, though the module had decided on it. */
    record AttemptDenied(String request, int attempt, SendDenial denial) implements NodeEvent {
        @Override
        public String text() {
            return "denied request=" + request + " attempt=" + attempt + " reason=" + denial;
        }
    }

    /** What should hold at any time did not; request is null where it is about none. */
    record InvariantViolated(Invariant invariant, String request) implements NodeEvent {
        @Override
        public String text() {
            return "violation invariant=" + invariant + (request == null ? "" : " request=" + request);
        }
    }

    /** The event loop ran a timer so long after it was due. */
    record EventLoopLate(double by) implements NodeEvent {
        @Override
        public String text() {
            return "loop_late by=" + Math.round(by);
        }
    }
}
