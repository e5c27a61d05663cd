package quotagateway.policy.api;

import java.util.List;
import java.util.Set;

/**
 * What a host tells a policy: the port through which everything comes in. The policy answers by calling
 * {@link PolicyActions}, during the event or not at all. Times are milliseconds of the host's clock, which does not run
 * backwards; all calls come from one thread.
 */
public interface PolicyEvents {
    /**
     * An endpoint list, or changes of it.
     *
     * @param endpoints the list or the changed endpoints
     * @param complete whether the list is complete: what it does not name is removed
     */
    void onEndpoints(double now, List<EndpointDescriptor> endpoints, boolean complete);

    /**
     * A complete list begins that comes in parts, each by {@link #onEndpoints} as a change. What none of them has named
     * is removed at its end; a list that is begun again, or never ends, removes nothing.
     */
    default void onEndpointListStarted(double now) {}

    /** The complete list that was begun last has come to its end. */
    default void onEndpointListCompleted(double now) {}

    /** A call to discovery failed or the subscription ended. */
    void onDiscoveryFailed(double now);

    /** A request has come. */
    void onRequest(double now, IncomingRequest request);

    /** A streamed response has begun: from here on the attempt is the client's. */
    void onResponseStarted(double now, long requestId, int attempt);

    /**
     * An attempt has ended.
     *
     * @param attempt number of the attempt, from 0
     * @param tookMs time from its send to its end
     * @param completed whether the request needs no response any more
     * @param actualUnits units that the request has really used, 0 where nothing is told
     * @param load the load report that came with it, in the order of the settings' fields; NaN where a value is missing
     */
    void onAttemptEnded(
            double now,
            long requestId,
            int attempt,
            CallOutcome outcome,
            double tookMs,
            boolean completed,
            int actualUnits,
            double[] load);

    /** The client of a request has disconnected or cancelled it. */
    void onClientDisconnected(double now, long requestId);

    /** A timer that {@link PolicyActions#scheduleTimer} asked for is due. */
    void onTimer(double now, long token);

    /** A health check that {@link PolicyActions#checkHealth} asked for has ended. */
    default void onHealthCheck(double now, String endpoint, CallOutcome outcome, double tookMs, double[] load) {}

    /**
     * A call that {@link PolicyActions#addToCounter} asked for has ended. Replies of one name come in the order of the
     * calls.
     *
     * @param total the counter's new value, where the outcome is {@link CallOutcome#OK}
     */
    void onCounterReply(double now, long name, CallOutcome outcome, double tookMs, double total);

    /** An operator cordons an endpoint or takes the cordon off; false where no list has ever named it. */
    default boolean setCordoned(double now, String endpoint, boolean cordoned) {
        return false;
    }

    /** The cordoned endpoints as they are stored: these and no others. */
    default void replaceCordons(double now, Set<String> endpoints) {}

    /** How many endpoints the list has, draining ones included. */
    default int endpointCount() {
        return 0;
    }

    /** How many endpoints of the list get nothing new at present, for whatever reason. */
    default int unavailableEndpointCount(double now) {
        return 0;
    }
}
