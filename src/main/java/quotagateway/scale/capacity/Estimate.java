package quotagateway.scale.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;

/** A number with what it rests on; no number where something it needs has not been measured. */
record Estimate(double value, Set<String> restsOn) {
    static final String NOT_MEASURED = "not measured";
    private static final int DIGITS = 3;
    private static final double K = 1000;
    private static final double LEAST_SHARE = 0.001;

    static Estimate of(double value) {
        return new Estimate(value, Set.of());
    }

    static Estimate of(double value, String restsOn) {
        return new Estimate(value, Set.of(restsOn));
    }

    boolean measured() {
        return !Double.isNaN(value); // carried on by all arithmetic
    }

    Estimate with(double result, Estimate other) {
        Set<String> both = new LinkedHashSet<>(restsOn);
        both.addAll(other.restsOn);
        return new Estimate(result, both);
    }

    /** Three digits and the unit that suits the size: K, M and G are powers of 1,000. */
    String text(String unit) {
        if (!measured()) {
            return NOT_MEASURED;
        }
        if (!Double.isFinite(value)) {
            return "without bound";
        }
        return switch (unit) {
            case "B" -> scaled(value, " B", " KB", " MB", " GB", " TB", " PB");
            case "B/s" -> scaled(value, " B/s", " KB/s", " MB/s", " GB/s", " TB/s", " PB/s");
            case "s" -> seconds();
            case "core" ->
                value == 1
                        ? "1 core"
                        : Math.abs(value) < 1 ? number(100 * value) + "% of a core" : number(value) + " cores";
            default -> number(value) + (unit.startsWith("/") ? unit : unit.isEmpty() ? "" : " " + unit);
        };
    }

    private String seconds() {
        double size = Math.abs(value);
        return size < 1
                ? scaled(value * K * K, " us", " ms")
                : size < 120
                        ? number(value) + " s"
                        : size < 7200
                                ? number(value / 60) + " min"
                                : size < 172_800 ? number(value / 3600) + " h" : number(value / 86_400) + " days";
    }

    private static String scaled(double value, String... units) {
        int i = 0;
        double rest = value;
        while (i < units.length - 1 && Math.abs(rounded(rest)) >= K) {
            rest /= K;
            i++;
        }
        return number(rest) + units[i];
    }

    private static double rounded(double value) {
        return new BigDecimal(value)
                .round(new MathContext(DIGITS, RoundingMode.HALF_EVEN))
                .doubleValue();
    }

    /** Whole numbers as they are, others by three digits. */
    static String number(double value) {
        return new DecimalFormat("#,##0.##########", DecimalFormatSymbols.getInstance(Locale.ROOT))
                .format(value == Math.rint(value) ? value : rounded(value));
    }

    /** A share of something; what is very little needs no digits. */
    static String percent(double share) {
        return share > 0 && share < LEAST_SHARE
                ? "<" + number(100 * LEAST_SHARE) + "%"
                : number(rounded(100 * share)) + "%";
    }
}
