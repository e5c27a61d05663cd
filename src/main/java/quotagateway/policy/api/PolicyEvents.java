package quotagateway.policy.api;

import java.util.List;
import java.util.Set;

/**
 * The inbound port of a policy: the events that its host passes to it. The policy responds by calling
 * {@link PolicyActions}, which it does only during an event. Times are milliseconds of the host's clock, which does not
 * run backwards; all calls come from one thread.
 */
public interface PolicyEvents {
    /**
     * An endpoint list, or changes to it, have arrived.
     *
     * @param endpoints the list or the changed endpoints
     * @param complete whether the list is complete: endpoints that it does not name are removed
     */
    void onEndpoints(double now, List<EndpointDescriptor> endpoints, boolean complete);

    /**
     * A complete list begins that arrives in parts, each of them passed to {@link #onEndpoints} as a change. Endpoints
     * that no part has named are removed when the list ends; a list that is restarted, or never ends, removes none.
     */
    default void onEndpointListStarted(double now) {}

    /** The complete list that was started last has ended. */
    default void onEndpointListCompleted(double now) {}

    /** A call to discovery failed or the subscription ended. */
    void onDiscoveryFailed(double now);

    /** A request has arrived. */
    void onRequest(double now, IncomingRequest request);

    /** A streamed response has begun: the client receives the response of this attempt from now on. */
    void onResponseStarted(double now, long requestId, int attempt);

    /**
     * An attempt has ended.
     *
     * @param attempt number of the attempt, from 0
     * @param tookMs time from the sending of the attempt to its end
     * @param completed whether the request needs no further response
     * @param actualUnits units that the request has actually used, 0 if not reported
     * @param load the load report that came with the response, in the order of {@link PolicySettings#loadFields}; NaN
     *     for a missing value
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

    /** A timer requested by {@link PolicyActions#scheduleTimer} is due. */
    void onTimer(double now, long token);

    /** A health check requested by {@link PolicyActions#checkHealth} has ended. */
    default void onHealthCheck(double now, String endpoint, CallOutcome outcome, double tookMs, double[] load) {}

    /**
     * A call requested by {@link PolicyActions#addToCounter} has ended. The replies for one name arrive in the order of
     * the calls.
     *
     * @param total the counter's new value if the outcome is {@link CallOutcome#OK}
     */
    void onCounterReply(double now, long name, CallOutcome outcome, double tookMs, double total);

    /** An operator cordons or uncordons an endpoint; returns false if no list has ever named the endpoint. */
    default boolean setCordoned(double now, String endpoint, boolean cordoned) {
        return false;
    }

    /** Replaces the set of cordoned endpoints by the stored one. */
    default void replaceCordons(double now, Set<String> endpoints) {}

    /** Returns the number of endpoints in the list, draining ones included. */
    default int endpointCount() {
        return 0;
    }

    /** Returns the number of listed endpoints that get no new requests at present, for any reason. */
    default int unavailableEndpointCount(double now) {
        return 0;
    }
}
