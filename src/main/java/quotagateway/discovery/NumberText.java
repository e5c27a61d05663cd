package quotagateway.discovery;

/** Numbers of a list, which may come as JSON numbers or as text. */
final class NumberText {
    private NumberText() {}

    /** The number in a text; the fallback where it is null or no number. */
    static double parse(String text, double fallback) {
        try {
            return text == null ? fallback : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
