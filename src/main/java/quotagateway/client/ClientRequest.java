package quotagateway.client;

/** A request that a client's connection waits on, as the connection sees it. */
public interface ClientRequest {
    /** The client's connection has ended: nobody waits for the response any more. */
    void onClientDisconnected();

    /** What came behind the request on its connection could not be read: it fails at once. */
    void onConnectionMalformed();
}
