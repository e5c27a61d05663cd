package quotagateway.streaming;

/** The connection to an endpoint that a {@link StreamedResponse} comes from. */
public interface ResponseSource {
    /** Reads on from the endpoint, or no further for now. */
    void setReading(boolean reading);

    /** Nobody takes the rest of the stream: the connection is closed. */
    void stop();
}
