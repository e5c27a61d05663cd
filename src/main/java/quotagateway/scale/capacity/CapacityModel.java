package quotagateway.scale.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The sizes, budgets, assumptions and rows of the capacity page, read from its model file, each figure computed by its
 * formula from what has been measured.
 */
final class CapacityModel {
    private static final Set<String> KINDS = Set.of("size", "budget", "assumption", "code", "derived");
    private static final Set<String> STATES = Set.of("present", "made here", "missing");
    private static final Map<String, Double> UNITS =
            Map.of("ns", 1e-9, "us", 1e-6, "ms", 1e-3, "KB", 1e3, "MB", 1e6, "GB", 1e9);

    /** A named number: what it is, and in which words it was given. */
    record Quantity(String name, String kind, String formula, Estimate figure, String unit, String text) {}

    /** What carries a row: present, made here or missing, in the order of what it blocks. */
    record Mechanism(String name, String state, String text) {}

    /** One figure of the page; budget is null where there is none. */
    record Row(
            String role,
            String when,
            String what,
            String formula,
            Estimate figure,
            String unit,
            Estimate budget,
            Mechanism mechanism) {

        /** How often the budget goes into the figure; NaN where one of them is not there. */
        double ratio() {
            return budget == null ? Double.NaN : figure.value() / budget.value();
        }

        boolean over() {
            return ratio() > 1;
        }
    }

    /**
     * A figure of a run that has to be foretold: by a line through its smaller sizes, or where a formula is
     * given (else null) by that, at one size.
     */
    record CrossCheck(String metric, String x, String text, String formula, Estimate foretold, double at) {}

    private final Map<String, Quantity> quantities = new LinkedHashMap<>();
    private final Map<String, Mechanism> mechanisms = new LinkedHashMap<>();
    private final Map<String, String> roles = new LinkedHashMap<>();
    private final List<Row> rows = new ArrayList<>();
    private final List<CrossCheck> checks = new ArrayList<>();
    private final Map<String, String> forms = Messages.samples();
    private final Measurements measurements;
    private final FormulaEvaluator formulas;

    private CapacityModel(Measurements measurements) {
        this.measurements = measurements;
        formulas = new FormulaEvaluator(quantities, forms, measurements);
    }

    static CapacityModel read(Path file, Measurements measurements) {
        CapacityModel model = new CapacityModel(measurements);
        LocatedJson root = LocatedJson.read(file);
        root.get("quantities").list().forEach(model::quantity);
        root.get("mechanisms").list().forEach(model::mechanism);
        root.get("roles")
                .list()
                .forEach(
                        r -> model.roles.put(r.get("name").text(), r.get("text").text()));
        root.get("rows").list().forEach(model::row);
        root.get("cross_checks").list().forEach(model::check);
        for (Mechanism m : model.mechanisms.values()) {
            if (model.rows.stream().noneMatch(r -> r.mechanism.equals(m))) {
                throw new InvalidInputException(file + ": mechanism " + m.name + " carries no row");
            }
        }
        return model;
    }

    Map<String, Quantity> quantities() {
        return quantities;
    }

    Map<String, Mechanism> mechanisms() {
        return mechanisms;
    }

    Map<String, String> roles() {
        return roles;
    }

    List<Row> rows() {
        return rows;
    }

    List<CrossCheck> checks() {
        return checks;
    }

    Map<String, String> forms() {
        return forms;
    }

    Measurements measurements() {
        return measurements;
    }

    private void quantity(LocatedJson d) {
        String name = d.get("name").text();
        String kind = oneOf(d.get("kind"), KINDS);
        LocatedJson is = d.get("is");
        Estimate figure;
        String formula = "";
        if (kind.equals("derived")) {
            formula = is.text();
            figure = formulas.evaluate(formula, is.at());
        } else {
            boolean given = kind.equals("size") || kind.equals("budget");
            figure = given ? Estimate.of(is.number()) : Estimate.of(is.number(), kind + " " + name);
        }
        Quantity before = quantities.put(
                name,
                new Quantity(
                        name,
                        kind,
                        formula,
                        figure,
                        d.get("unit").text(""),
                        d.get("text").text()));
        if (before != null) {
            throw new InvalidInputException(d.at() + ": " + name + " is there already");
        }
    }

    private void mechanism(LocatedJson d) {
        String name = d.get("name").text();
        mechanisms.put(
                name,
                new Mechanism(name, oneOf(d.get("state"), STATES), d.get("text").text()));
    }

    private void row(LocatedJson d) {
        String role = oneOf(d.get("role"), roles.keySet());
        Mechanism carrier = mechanisms.get(oneOf(d.get("mechanism"), mechanisms.keySet()));
        LocatedJson is = d.get("is");
        LocatedJson budget = d.get("budget");
        rows.add(new Row(
                role,
                d.get("when").text(),
                d.get("what").text(),
                is.text(),
                formulas.evaluate(is.text(), is.at()),
                d.get("unit").text(""),
                d.has("budget") ? formulas.evaluate(budget.text(), budget.at()) : null,
                carrier));
    }

    private void check(LocatedJson d) {
        LocatedJson is = d.get("is");
        boolean given = d.has("is");
        checks.add(new CrossCheck(
                d.get("metric").text(),
                d.get("x").text(),
                d.get("text").text(),
                given ? is.text() : null,
                given ? formulas.evaluate(is.text(), is.at()) : null,
                given ? d.get("at").number() : 0));
    }

    private static String oneOf(LocatedJson d, Set<String> allowed) {
        if (!allowed.contains(d.text())) {
            throw new InvalidInputException(d.at() + ": '" + d.text() + "' is none of "
                    + allowed.stream().sorted().toList());
        }
        return d.text();
    }

    /** A run's unit in bytes or seconds. */
    static double scale(Measurements.Series series) {
        return UNITS.getOrDefault(series.unit().split("/", 0)[0], 1.0);
    }
}
