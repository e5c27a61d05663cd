package quotagateway.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Measured points by metric, shown as they come and written as CSV or as JSON, one row a line. */
final class Results {
    /** What is measured: a metric over x, in a unit. */
    private record Metric(String name, String x, String unit) {}

    private final String run;
    private final String commit;
    private final Map<Metric, List<double[]>> rows = new LinkedHashMap<>();

    Results(String run, String commit) {
        this.run = run;
        this.commit = commit;
    }

    void add(String metric, String x, double at, double value, String unit) {
        rows.computeIfAbsent(new Metric(metric, x, unit), m -> new ArrayList<>())
                .add(new double[] {at, value});
        System.out.printf(Locale.ROOT, "%-34s %s=%s: %s %s%n", metric, x, number(at), number(value), unit);
    }

    void printFits() {
        rows.forEach((m, points) -> {
            LinearFit fit = LinearFit.of(points);
            if (points.size() < 2) {
                return; // shown already
            }
            String line = fit == null
                    ? "no fit, " + points.size() + " points"
                    : number(fit.slope()) + " x " + m.x + " + " + number(fit.intercept()) + ", residual "
                            + number(fit.residual());
            System.out.println("fit " + m.name + ": " + line + " (" + m.unit + ")");
        });
    }

    /** The file's ending tells the form; append keeps the rows of earlier runs. */
    void write(Path file, boolean append) throws IOException {
        boolean csv = file.toString().endsWith(".csv");
        boolean head = csv && !(append && Files.exists(file));
        String text = (head ? "run,commit,metric,unit,x,x_value,value,slope,intercept,residual\n" : "")
                + (csv ? csv() : json());
        Files.writeString(
                file,
                text,
                StandardCharsets.UTF_8,
                StandardOpenOption.CREATE,
                append ? StandardOpenOption.APPEND : StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
    }

    private String csv() {
        StringBuilder text = new StringBuilder();
        rows.forEach((m, points) -> {
            LinearFit fit = LinearFit.of(points);
            if (points.size() < 2) {
                return; // shown already
            }
            String line = fit == null
                    ? ",,"
                    : number(fit.slope()) + ',' + number(fit.intercept()) + ',' + number(fit.residual());
            for (double[] p : points) {
                text.append('"')
                        .append(run.replace("\"", "\"\""))
                        .append("\",")
                        .append(String.join(",", commit, m.name, m.unit, m.x, number(p[0]), number(p[1]), line))
                        .append('\n');
            }
        });
        return text.toString();
    }

    String json() throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<Metric, List<double[]>> row : rows.entrySet()) {
            StringWriter line = new StringWriter();
            try (JsonGenerator json = new JsonFactory().createGenerator(line)) {
                row(json, row.getKey(), row.getValue());
            }
            text.append(line).append('\n');
        }
        return text.toString();
    }

    private void row(JsonGenerator json, Metric m, List<double[]> points) throws IOException {
        json.writeStartObject();
        json.writeStringField("run", run);
        json.writeStringField("commit", commit);
        json.writeStringField("metric", m.name);
        json.writeStringField("x", m.x);
        json.writeArrayFieldStart("points");
        for (double[] p : points) {
            json.writeStartArray();
            json.writeNumber(number(p[0]));
            json.writeNumber(number(p[1]));
            json.writeEndArray();
        }
        json.writeEndArray();
        LinearFit fit = LinearFit.of(points);
        if (fit != null) {
            json.writeObjectFieldStart("fit");
            json.writeFieldName("slope");
            json.writeNumber(number(fit.slope()));
            json.writeFieldName("intercept");
            json.writeNumber(number(fit.intercept()));
            json.writeFieldName("residual");
            json.writeNumber(number(fit.residual()));
            json.writeEndObject();
        }
        json.writeStringField("unit", m.unit);
        json.writeEndObject();
    }

    /** Five digits are more than a run can tell. */
    static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e12
                ? Long.toString((long) value)
                : new java.math.BigDecimal(value)
                        .round(new java.math.MathContext(5))
                        .stripTrailingZeros()
                        .toPlainString();
    }
}
