package quotagateway.client;

/** A client's command cannot be taken as a request; the message says what is wrong and is sent to the client. */
public final class MalformedCommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedCommandException(String message) {
        super(message);
    }
}
