package quotagateway.client;

/** Thrown when a client's command is not a valid request; the message is sent to the client. */
public final class MalformedCommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedCommandException(String message) {
        super(message);
    }
}
