package quotagateway.simulator;

/** A line of input that cannot be understood; the message names line and field. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(long lineNumber, String field, String problem) {
        super("line " + lineNumber + ", field " + field + ": " + problem);
    }
}
