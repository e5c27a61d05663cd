package quotagateway.scale.capacity;

import java.util.Map;

/**
 * Computes the formulas of the capacity model. A formula is a sum of products over names of quantities, numbers,
 * {@code form.NAME} (bytes of a sample message), {@code metric[x]} (a measured slope), {@code metric[x=NAME]} (the
 * fitted line at that size) and {@code metric[x@NAME]} (the point measured at that size, or at the {@code largest}),
 * all in bytes and seconds.
 */
final class FormulaEvaluator {
    private static final String FORM = "form.";
    private static final String LARGEST = "largest";

    private final Map<String, CapacityModel.Quantity> quantities;
    private final Map<String, String> forms;
    private final Measurements measurements;

    /**
     * An evaluator over names that may still be added to.
     *
     * @param forms sample messages by name
     */
    FormulaEvaluator(
            Map<String, CapacityModel.Quantity> quantities, Map<String, String> forms, Measurements measurements) {
        this.quantities = quantities;
        this.forms = forms;
        this.measurements = measurements;
    }

    /** The value of a formula; throws {@link InvalidInputException} with the place where it cannot be read. */
    Estimate evaluate(String formula, String at) {
        String[] words = formula.trim().split("\\s+", 0);
        Estimate sum = Estimate.of(0);
        Estimate product = term(words[0], at);
        double sign = 1;
        if (words.length % 2 == 0) {
            throw new InvalidInputException(at + ": a name is missing in '" + formula + "'");
        }
        for (int i = 1; i < words.length; i += 2) {
            Estimate next = term(words[i + 1], at);
            switch (words[i]) {
                case "*" -> product = product.with(product.value() * next.value(), next);
                case "/" -> product = product.with(product.value() / next.value(), next);
                case "+", "-" -> {
                    sum = sum.with(sum.value() + sign * product.value(), product);
                    sign = words[i].equals("+") ? 1 : -1;
                    product = next;
                }
                default -> throw new InvalidInputException(at + ": one of + - * / expected, found '" + words[i] + "'");
            }
        }
        return sum.with(sum.value() + sign * product.value(), product);
    }

    private Estimate term(String word, String at) {
        if (word.endsWith("]") && word.contains("[")) {
            return measured(word, at);
        }
        if (word.startsWith(FORM)) {
            String sample = forms.get(word.substring(FORM.length()));
            if (sample == null) {
                throw new InvalidInputException(at + ": no message form '" + word + "'");
            }
            return Estimate.of(Messages.bytes(sample), "form " + word.substring(FORM.length()));
        }
        CapacityModel.Quantity known = quantities.get(word);
        if (known != null) {
            return known.figure();
        }
        try {
            return Estimate.of(Double.parseDouble(word));
        } catch (NumberFormatException e) {
            throw new InvalidInputException(at + ": '" + word + "' is not known here");
        }
    }

    /** What a run measured; not a number, with that as its ground, where no run did. */
    private Estimate measured(String word, String at) {
        String metric = word.substring(0, word.indexOf('['));
        String inside = word.substring(word.indexOf('[') + 1, word.length() - 1);
        boolean atPoint = inside.contains("@");
        String[] x = inside.split("[=@]", 2);
        Measurements.Series found = measurements.find(metric, x[0]);
        Estimate size = x.length == 1
                ? Estimate.of(0)
                : !atPoint || !x[1].equals(LARGEST)
                        ? term(x[1], at)
                        : Estimate.of(found == null ? Double.NaN : found.largest());
        if (found == null) {
            String none = "**no run yet** of " + metric + " over " + x[0];
            return Estimate.of(Double.NaN, none).with(Double.NaN, size);
        }
        double unit = CapacityModel.scale(found);
        String run = measurements.label(found) + ": ";
        if (found.fit() == null || atPoint) { // a point at just this size is as good as a line
            double point = x.length == 1 ? Double.NaN : found.pointAt(size.value()) * unit;
            String grounds = run
                    + (Double.isNaN(point)
                            ? "**no such point**"
                            : "as measured at " + x[0] + " = " + Estimate.number(size.value()));
            return Estimate.of(point, grounds).with(point, size);
        }
        double slope = found.fit().slope();
        run += Estimate.number(slope) + " " + found.unit() + " x " + x[0];
        if (x.length == 1) {
            return Estimate.of(slope * unit, run);
        }
        double intercept = found.fit().intercept();
        run += (intercept < 0 ? " - " : " + ") + Estimate.number(Math.abs(intercept));
        run += range(found, size.value());
        double there = found.fit().at(size.value()) * unit;
        return Estimate.of(there, run).with(there, size);
    }

    /** Says so where a size is outside of what was measured. */
    private static String range(Measurements.Series found, double size) {
        return size > found.largest()
                ? ", **beyond** its largest, " + Estimate.number(found.largest())
                : size < found.smallest() ? ", **below** its smallest, " + Estimate.number(found.smallest()) : "";
    }
}
