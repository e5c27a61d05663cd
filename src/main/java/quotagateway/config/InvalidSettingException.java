package quotagateway.config;

/** A setting that is missing or cannot be understood. */
public final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Path of the setting, as {@code request_classes.0.aim}. */
    public final String field;

    /**
     * Reports one setting.
     *
     * @param field path of the setting
     * @param problem what is wrong with it, and the value where there is one
     */
    public InvalidSettingException(String field, String problem) {
        super(problem);
        this.field = field;
    }

    /** The problem with the path of the setting before it, for a message that names the path nowhere else. */
    public String describe() {
        return field + ": " + getMessage();
    }
}
