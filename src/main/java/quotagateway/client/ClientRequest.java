package quotagateway.client;

/** A request for whose response a client's connection waits, as seen by the connection. */
public interface ClientRequest {
    /** Called when the client's connection has ended, so that the response is no longer needed. */
    void onClientDisconnected();

    /** Fails the request immediately, as the input after it on its connection is malformed. */
    void onConnectionMalformed();
}
