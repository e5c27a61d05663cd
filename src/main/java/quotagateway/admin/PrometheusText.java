package quotagateway.admin;

import java.util.Locale;
import java.util.Map;

/** Writes metrics in the text format of Prometheus (version 0.0.4); all names get this program's prefix. */
final class PrometheusText {
    private static final String PREFIX = "edge_edge_";

    private final StringBuilder text = new StringBuilder();

    /** Writes the header of a metric; its samples follow. */
    void header(String name, String type, String help) {
        text.append("# HELP ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(help)
                .append('\n');
        text.append("# TYPE ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(type)
                .append('\n');
    }

    /** Writes one sample of the current metric; the labels are results of {@link #label}, joined by commas. */
    void sample(String name, String labels, long value) {
        text.append(PREFIX)
                .append(name)
                .append('{')
                .append(labels)
                .append("} ")
                .append(value)
                .append('\n');
    }

    static String label(String name, String value) {
        return name + "=\"" + escapeLabel(value) + "\"";
    }

    /** Writes a metric with one sample and no labels. */
    void singleSample(String name, String type, String help, long value) {
        header(name, type, help);
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /** Writes a counter with a sample for each constant that has been counted, or nothing if there is none. */
    <E extends Enum<E>> void countsBy(String label, String name, String help, Map<E, Long> counts) {
        if (counts.isEmpty()) {
            return;
        }
        header(name, "counter", help);
        counts.forEach((constant, count) ->
                sample(name, label(label, constant.name().toLowerCase(Locale.ROOT)), count));
    }

    private static String escapeLabel(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
