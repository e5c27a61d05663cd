package quotagateway.scale;

import java.util.List;

/** A straight line by least squares; the residual is the root mean square error, in the unit of y. */
record LinearFit(double slope, double intercept, double residual) {
    /** Fewer points than this make no slope: any three lie near some line. */
    static final int MIN_POINTS = 4;

    /** Null where there are too few points, or all at one x. */
    static LinearFit of(List<double[]> points) {
        int n = points.size();
        double meanX = points.stream().mapToDouble(p -> p[0]).average().orElse(0);
        double meanY = points.stream().mapToDouble(p -> p[1]).average().orElse(0);
        double xx = points.stream()
                .mapToDouble(p -> (p[0] - meanX) * (p[0] - meanX))
                .sum();
        double xy = points.stream()
                .mapToDouble(p -> (p[0] - meanX) * (p[1] - meanY))
                .sum();
        if (n < MIN_POINTS || xx == 0) {
            return null;
        }
        double slope = xy / xx;
        double intercept = meanY - slope * meanX;
        double squares = points.stream()
                .mapToDouble(p -> Math.pow(p[1] - intercept - slope * p[0], 2))
                .sum();
        return new LinearFit(slope, intercept, Math.sqrt(squares / n));
    }
}
