package quotagateway.scale.capacity;

/** A file or an argument that cannot be used: one line, with the place. */
final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
        super(message, null, false, false);
    }
}
