package quotagateway.scale;

/** What the caller or the machine does not allow: told in one line, with exit code 2. */
public class RunNotPossibleException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public RunNotPossibleException(String what) {
        super(what);
    }
}
