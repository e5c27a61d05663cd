package quotagateway.streaming;

/** The connection to an endpoint from which a {@link StreamedResponse} is read. */
public interface ResponseSource {
    /** Resumes or pauses reading from the endpoint. */
    void setReading(boolean reading);

    /** Closes the connection, as the rest of the stream is not needed. */
    void stop();
}
