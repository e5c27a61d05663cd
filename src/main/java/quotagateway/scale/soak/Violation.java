package quotagateway.scale.soak;

/** A broken rule, with what shows it. */
record Violation(String rule, String what) {
    @Override
    public String toString() {
        return rule + ": " + what;
    }
}
