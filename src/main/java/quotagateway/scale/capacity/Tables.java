package quotagateway.scale.capacity;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The page's tables as Markdown, each under its name. */
final class Tables {
    private static final String NONE = "-";
    private static final String ASSUMED = "assumption ";
    private final CapacityModel model;

    private Tables(CapacityModel model) {
        this.model = model;
    }

    /** Name to text, in the order of the page; each text ends with a line break. */
    static Map<String, String> of(CapacityModel model) {
        Tables t = new Tables(model);
        Map<String, String> all = new LinkedHashMap<>();
        all.put("over", t.over());
        all.put("missing", t.mechanisms(m -> m.state().equals("missing")));
        all.put("carriers", t.mechanisms(m -> !m.state().equals("missing")));
        model.roles().keySet().forEach(role -> all.put(role, t.role(role)));
        all.put("cross-check", t.crossChecks());
        all.put("compared", t.compared());
        all.put("runs", t.runs());
        all.put("measurements", t.measurements());
        for (String kind : List.of("size", "budget", "assumption", "code", "derived")) {
            all.put(kind, t.quantities(kind));
        }
        all.put("forms", t.forms());
        return all;
    }

    private String role(String role) {
        StringBuilder table = head("when", "what", "figure", "budget", "", "reckoned as", "rests on", "carried by");
        model.rows().stream()
                .filter(r -> r.role().equals(role))
                .forEach(r -> line(
                        table,
                        r.when(),
                        r.what(),
                        r.figure().text(r.unit()),
                        r.budget() == null ? NONE : r.budget().text(r.unit()),
                        verdict(r),
                        "`" + r.formula() + "`",
                        rests(r.figure()),
                        r.mechanism().name() + ": " + r.mechanism().state()));
        return table.toString();
    }

    private static String verdict(CapacityModel.Row r) {
        double ratio = r.ratio();
        if (r.budget() == null) {
            return NONE;
        }
        if (Double.isNaN(ratio)) {
            return Estimate.NOT_MEASURED;
        }
        return r.over() ? "**OVER, " + Estimate.number(ratio) + " x**" : "within, " + Estimate.percent(ratio);
    }

    private static String rests(Estimate figure) {
        return figure.restsOn().isEmpty()
                ? "sizes alone"
                : figure.restsOn().stream()
                        .map(g -> g.startsWith(ASSUMED) ? "*assumption* " + g.substring(ASSUMED.length()) : g)
                        .collect(Collectors.joining("; "));
    }

    /** The assumptions behind a figure and its budget. */
    private static String assumed(CapacityModel.Row r) {
        return Stream.of(r.figure(), r.budget())
                .flatMap(f -> f.restsOn().stream())
                .filter(g -> g.startsWith(ASSUMED))
                .map(g -> "*" + g.substring(ASSUMED.length()) + "*")
                .distinct()
                .collect(Collectors.joining(", "));
    }

    /** The worst first; like ones in the order of the rows. */
    private String over() {
        StringBuilder table = head("over", "role", "when", "what", "figure", "budget", "assuming", "carried by");
        model.rows().stream()
                .filter(CapacityModel.Row::over)
                .sorted(Comparator.comparingDouble(CapacityModel.Row::ratio).reversed())
                .forEach(r -> line(
                        table,
                        Estimate.number(r.ratio()) + " x",
                        r.role(),
                        r.when(),
                        r.what(),
                        r.figure().text(r.unit()),
                        r.budget().text(r.unit()),
                        assumed(r),
                        r.mechanism().name() + ": " + r.mechanism().state()));
        return table.toString();
    }

    private String mechanisms(Predicate<CapacityModel.Mechanism> which) {
        int[] place = {0};
        StringBuilder table = head("", "mechanism", "state", "what it is", "rows", "over", "not measured");
        model.mechanisms().values().stream().filter(which).forEach(m -> {
            List<CapacityModel.Row> rows =
                    model.rows().stream().filter(r -> r.mechanism().equals(m)).toList();
            line(
                    table,
                    Integer.toString(++place[0]),
                    m.name(),
                    m.state(),
                    m.text(),
                    Integer.toString(rows.size()),
                    Long.toString(rows.stream().filter(CapacityModel.Row::over).count()),
                    Long.toString(
                            rows.stream().filter(r -> !r.figure().measured()).count()));
        });
        return table.toString();
    }

    private String crossChecks() {
        StringBuilder table =
                head("figure", "size left out", "foretold", "measured there", "deviation", "foretold by", "run");
        for (CapacityModel.CrossCheck c : model.checks()) {
            Measurements.Series series = model.measurements().find(c.metric(), c.x());
            Measurements.Check check = series == null
                    ? null
                    : c.formula() == null
                            ? Measurements.leaveLargestOut(series)
                            : new Measurements.Check(
                                    series,
                                    c.at(),
                                    c.foretold().value() / CapacityModel.scale(series),
                                    series.pointAt(c.at()));
            String by = c.formula() == null ? "the smaller sizes" : "`" + c.formula() + "`";
            if (check == null || Double.isNaN(check.deviation())) {
                String none = Estimate.NOT_MEASURED;
                line(
                        table,
                        c.text(),
                        NONE,
                        none,
                        none,
                        none,
                        by,
                        series == null ? "**no run yet**" : "no such point in " + label(series));
            } else {
                line(
                        table,
                        c.text(),
                        c.x() + " = " + Estimate.number(check.x()),
                        amount(check.predicted(), series),
                        amount(check.measured(), series),
                        Estimate.percent(check.deviation()),
                        by,
                        label(series));
            }
        }
        return table.toString();
    }

    /** Figures that several runs gave, at the largest size that all of them have. */
    private String compared() {
        StringBuilder table = head("metric", "at", "by run, the earliest first", "last over first");
        boolean none = true;
        Map<String, List<Measurements.Series>> same = model.measurements().used().stream()
                .collect(Collectors.groupingBy(
                        s -> s.metric() + " " + s.x() + " " + s.unit(), LinkedHashMap::new, Collectors.toList()));
        for (List<Measurements.Series> runs : same.values()) {
            Measurements.Series first = runs.get(0);
            Measurements.Series last = runs.get(runs.size() - 1);
            OptionalDouble at = first.points().stream()
                    .mapToDouble(p -> p[0])
                    .filter(x -> runs.stream().noneMatch(s -> Double.isNaN(s.pointAt(x))))
                    .max();
            if (runs.size() > 1 && at.isPresent()) {
                double x = at.getAsDouble();
                line(
                        table,
                        first.metric(),
                        first.x() + " = " + Estimate.number(x),
                        runs.stream()
                                .map(s -> label(s) + ": " + amount(s.pointAt(x), s))
                                .collect(Collectors.joining("; ")),
                        Estimate.number(last.pointAt(x) / first.pointAt(x)));
                none = false;
            }
        }
        return none ? "None yet.\n" : table.toString();
    }

    private String label(Measurements.Series series) {
        return model.measurements().label(series);
    }

    private String runs() {
        StringBuilder table = head("", "command and commit");
        List<String> runs = model.measurements().runs();
        for (int i = 0; i < runs.size(); i++) {
            line(table, "run " + (i + 1), runs.get(i));
        }
        return runs.isEmpty() ? "No run has been taken in yet.\n" : table.toString();
    }

    private static String amount(double value, Measurements.Series series) {
        return (Estimate.number(value) + " " + series.unit()).trim();
    }

    private String measurements() {
        StringBuilder table =
                head("metric", "over", "points", "from", "to", "slope", "intercept", "residual", "unit", "run");
        for (Measurements.Series s : model.measurements().used()) {
            String[] fit = s.fit() == null
                    ? new String[] {NONE, NONE, NONE}
                    : new String[] {
                        Estimate.number(s.fit().slope()),
                        Estimate.number(s.fit().intercept()),
                        Estimate.number(s.residual())
                    };
            line(
                    table,
                    s.metric(),
                    s.x(),
                    Integer.toString(s.points().size()),
                    Estimate.number(s.smallest()),
                    Estimate.number(s.largest()),
                    fit[0],
                    fit[1],
                    fit[2],
                    s.unit(),
                    label(s));
        }
        return table.toString();
    }

    private String quantities(String kind) {
        boolean derived = kind.equals("derived");
        StringBuilder table = derived
                ? head("name", "value", "reckoned as", "rests on", "what it is")
                : head("name", "value", "what it is");
        for (CapacityModel.Quantity q : model.quantities().values()) {
            if (q.kind().equals(kind) && derived) {
                line(table, q.name(), q.figure().text(q.unit()), "`" + q.formula() + "`", rests(q.figure()), q.text());
            } else if (q.kind().equals(kind)) {
                line(table, q.name(), q.figure().text(q.unit()), q.text());
            }
        }
        return table.toString();
    }

    private String forms() {
        StringBuilder table = head("form", "bytes", "sample");
        model.forms()
                .forEach((name, sample) ->
                        line(table, name, Integer.toString(Messages.bytes(sample)), "`" + shown(sample) + "`"));
        return table.toString();
    }

    private static String shown(String sample) {
        String one = sample.replaceAll("x{32,}", "x..x").replace("\r", "\\r").replace("\n", "\\n");
        return one.length() > 130 ? one.substring(0, 130) + "..." : one;
    }

    private static StringBuilder head(String... names) {
        StringBuilder table = new StringBuilder();
        line(table, names);
        return table.append("|").append(" --- |".repeat(names.length)).append('\n');
    }

    private static void line(StringBuilder table, String... cells) {
        for (String cell : cells) {
            table.append("| ").append(cell.replace("|", "\\|")).append(cell.isEmpty() ? "" : " ");
        }
        table.append("|\n");
    }
}
