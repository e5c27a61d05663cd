package quotagateway.streaming;

/** The app server's end. */
public interface ResponseSource {
    void setReading(boolean on);

    /** The value is of no use any more. */
    void stop();
}
