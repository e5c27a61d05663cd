package quotagateway.policy.api;

import java.util.List;
import java.util.Set;

/** What a host tells one instance. */
public interface PolicyEvents {
    /** The list of servers: all of it, or the changed ones only. */
    void onEndpoints(double now, List<EndpointDescriptor> list, boolean whole);

    /**
     * A whole list begins that comes in parts, each by {@link #servers} as a change. What none of them
     * has named is gone at its end; one that is begun again, or never ends, drops nothing.
     */
    default void onEndpointListStarted(double now) {}

    default void onEndpointListCompleted(double now) {}

    /** A call to discovery failed or the subscription dropped. */
    void onDiscoveryFailed(double now);

    void onRequest(double now, IncomingRequest request);

    /** A streamed answer has begun: from here on the attempt is the client's. */
    void onResponseStarted(double now, long id, int attempt);

    /** One attempt ended; over: the request needs no answer any more. */
    void onAttemptEnded(
            double now,
            long id,
            int attempt,
            CallOutcome outcome,
            double took,
            boolean over,
            int trueUnits,
            double[] load);

    void onClientDisconnected(double now, long id);

    void onTimer(double now, long token);

    default void onHealthCheck(double now, String server, CallOutcome outcome, double took, double[] load) {}

    void onCounterReply(double now, long name, CallOutcome outcome, double took, double total);

    /** An operator takes a server out, or puts it back; false where no list has ever named it. */
    default boolean setCordoned(double now, String server, boolean out) {
        return false;
    }

    /** The servers that are out by hand, as they are kept: these and no others. */
    default void replaceCordons(double now, Set<String> servers) {}

    /** How many servers the list has, draining ones too. */
    default int endpointCount() {
        return 0;
    }

    /** How many servers of the list get nothing new at present, for whatever reason. */
    default int unavailableEndpointCount(double now) {
        return 0;
    }
}
