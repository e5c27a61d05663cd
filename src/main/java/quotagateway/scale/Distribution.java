package quotagateway.scale;

/** How evenly something lies over servers: mean, the most that one has, and the standard deviation. */
record Distribution(double mean, double min, double max, double deviation) {
    static Distribution of(long[] counts) {
        double sum = 0;
        double squares = 0;
        double least = Double.MAX_VALUE;
        double largest = 0;
        for (long count : counts) {
            sum += count;
            squares += (double) count * count;
            least = Math.min(least, (double) count);
            largest = Math.max(largest, (double) count);
        }
        double mean = sum / counts.length;
        return new Distribution(mean, least, largest, Math.sqrt(Math.max(0, squares / counts.length - mean * mean)));
    }

    void addTo(Results results, String metric, int nodes, double per, String unit) {
        results.add(metric + "_mean", "nodes", nodes, mean / per, unit);
        results.add(metric + "_least", "nodes", nodes, min / per, unit);
        results.add(metric + "_worst", "nodes", nodes, max / per, unit);
        results.add(metric + "_deviation", "nodes", nodes, deviation / per, unit);
    }
}
