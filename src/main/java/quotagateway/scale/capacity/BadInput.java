package quotagateway.scale.capacity;

/** A file or an argument that cannot be used: one line, with the place. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadInput(String message) {
        super(message, null, false, false);
    }
}
