package quotagateway.config;

/** A setting that is missing or cannot be understood. */
public final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    public final String field;

    InvalidSettingException(String field, String what) {
        super(what);
        this.field = field;
    }
}
