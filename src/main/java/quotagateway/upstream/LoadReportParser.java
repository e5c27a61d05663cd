package quotagateway.upstream;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Parses an endpoint's load report, {@code name=value,name=value,...}, into the fields that the settings name. */
final class LoadReportParser {
    /** Names of fields in reports, and what the settings call them. */
    private static final Map<String, String> SETTINGS_NAMES = Map.of(
            "inflight",
            "outstanding",
            "queue",
            "backlog",
            "util",
            "utilization",
            "latency_ms",
            "recent_ms",
            "qps",
            "throughput",
            "eps",
            "errors_per_s");

    private final List<String> fields;

    /** The fields of the settings, in the order that the policy expects. */
    LoadReportParser(List<String> fields) {
        this.fields = fields;
    }

    /**
     * The values in the order of the fields, 0 or more; not a number where the report does not have one. An empty
     * array where there is no report (null), or no field.
     */
    double[] parse(String report) {
        if (report == null || fields.isEmpty()) {
            return EndpointPool.NO_LOAD;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        for (String pair : report.split(",", 0)) {
            int equalsSign = pair.indexOf('=');
            int field = equalsSign > 0 ? fieldIndex(pair.substring(0, equalsSign)) : -1;
            if (field >= 0) {
                values[field] = parseValue(pair.substring(equalsSign + 1));
            }
        }
        return values;
    }

    /** A report's field among those of the settings, which may use either name; negative where it is not. */
    private int fieldIndex(String name) {
        int index = fields.indexOf(name);
        return index >= 0 ? index : fields.indexOf(SETTINGS_NAMES.getOrDefault(name, name));
    }

    private static double parseValue(String text) {
        try {
            return Math.max(0, Double.parseDouble(text));
        } catch (NumberFormatException e) {
            return Double.NaN; // as if it were not reported
        }
    }
}
