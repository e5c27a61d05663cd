package quotagateway.scale.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What runs have measured: series of points, each with its run, commit and straight-line fit. */
final class Measurements {
    /** A line through two points fits them always, and tells nothing. */
    private static final int LEAST_POINTS = 3;

    /** A straight line through points. */
    record Line(double slope, double intercept) {
        double at(double x) {
            return intercept + slope * x;
        }
    }

    /** One series: y of a metric over x, in a unit; no fit (null) where the run had too few points. */
    record Series(
            String run,
            String commit,
            String metric,
            String x,
            List<double[]> points,
            Line fit,
            double residual,
            String unit) {

        double largest() {
            return points.get(points.size() - 1)[0];
        }

        double smallest() {
            return points.get(0)[0];
        }

        /** The mean of the points at just this x; NaN where there is none. */
        double pointAt(double at) {
            return points.stream()
                    .filter(p -> p[0] == at)
                    .mapToDouble(p -> p[1])
                    .average()
                    .orElse(Double.NaN);
        }
    }

    /** The largest size, predicted by a line through the other points and as measured. */
    record Check(Series series, double x, double predicted, double measured) {
        double deviation() {
            return (predicted - measured) / measured;
        }
    }

    private final List<Series> all = new ArrayList<>();
    private final Set<String> asked = new HashSet<>();

    private Measurements() {}

    /** The rows of a file: one list of them, or one a line. */
    static Measurements read(Path file) {
        Measurements read = new Measurements();
        List<LocatedJson> rows = LocatedJson.rows(file);
        for (LocatedJson row : rows.size() == 1 && rows.get(0).isList()
                ? LocatedJson.read(file).list()
                : rows) {
            read.all.add(series(row));
        }
        return read;
    }

    private static Series series(LocatedJson row) {
        List<double[]> points = new ArrayList<>();
        for (LocatedJson point : row.get("points").list()) {
            List<LocatedJson> xy = point.list();
            if (xy.size() != 2) {
                throw new InvalidInputException(point.at() + ": two numbers expected");
            }
            points.add(new double[] {xy.get(0).number(), xy.get(1).number()});
        }
        if (points.isEmpty()) {
            throw new InvalidInputException(row.at() + ": points: none");
        }
        points.sort(Comparator.comparingDouble(p -> p[0]));
        LocatedJson fit = row.get("fit");
        return new Series(
                row.get("run").text(),
                row.get("commit").text(),
                row.get("metric").text(),
                row.get("x").text(),
                points,
                row.has("fit")
                        ? new Line(
                                fit.get("slope").number(), fit.get("intercept").number())
                        : null,
                row.has("fit") ? fit.get("residual").number() : 0,
                row.get("unit").text());
    }

    List<Series> all() {
        return all;
    }

    /** The series of which the page has made use. */
    List<Series> used() {
        return all.stream().filter(s -> asked.contains(s.metric + " " + s.x)).toList();
    }

    /** A run's command and commit, in their order; the page calls them by their place. */
    List<String> runs() {
        return all.stream().map(Measurements::run).distinct().toList();
    }

    /** What the page calls the run of a series. */
    String label(Series s) {
        return "run " + (runs().indexOf(run(s)) + 1);
    }

    private static String run(Series s) {
        return "`" + s.run + "` at " + s.commit;
    }

    /** The series of a metric over x, of several the last one with a fit if any; null where none was run. */
    Series find(String metric, String x) {
        Series found = null;
        asked.add(metric + " " + x);
        for (Series s : all) {
            boolean better = found == null || found.fit == null || s.fit != null;
            found = better && s.metric.equals(metric) && s.x.equals(x) ? s : found;
        }
        return found;
    }

    /** Leaves the largest size out of a fit of its own and predicts it; null with too few other points. */
    static Check leaveLargestOut(Series s) {
        List<double[]> rest = s.points.stream().filter(p -> p[0] < s.largest()).toList();
        if (rest.stream().mapToDouble(p -> p[0]).distinct().count() < LEAST_POINTS) {
            return null;
        }
        return new Check(s, s.largest(), line(rest).at(s.largest()), s.pointAt(s.largest()));
    }

    /** Least squares. */
    private static Line line(List<double[]> points) {
        double x = points.stream().mapToDouble(p -> p[0]).average().orElse(0);
        double y = points.stream().mapToDouble(p -> p[1]).average().orElse(0);
        double xy = points.stream().mapToDouble(p -> (p[0] - x) * (p[1] - y)).sum();
        double xx = points.stream().mapToDouble(p -> (p[0] - x) * (p[0] - x)).sum();
        return new Line(xy / xx, y - xy / xx * x);
    }
}
