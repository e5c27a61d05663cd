package quotagateway.scale;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Uneven demand: the customer of rank k asks in proportion to 1 / k^skew, as traffic by customer does. */
final class CustomerPopulation {
    /** Between even (0) and one that has nearly all (above 1). */
    static final double SKEW = 0.6;

    private final String[] names;
    private final double[] cumulativeWeights;

    CustomerPopulation(int size, double skew) {
        names = new String[size];
        cumulativeWeights = new double[size];
        double sum = 0;
        for (int i = 0; i < size; i++) {
            names[i] = String.format("%016x", i);
            sum += Math.pow(i + 1, -skew);
            cumulativeWeights[i] = sum;
        }
    }

    int pick(SplittableRandom random) {
        int at = Arrays.binarySearch(
                cumulativeWeights, random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1]);
        return Math.min(at < 0 ? -at - 1 : at, cumulativeWeights.length - 1);
    }

    String name(int customer) {
        return names[customer];
    }

    int size() {
        return names.length;
    }

    /** The first of a customer's nodes, spread over all by a fixed hash. */
    static int firstNode(int customer, int nodes) {
        long h = (customer + 1) * 0x9e3779b97f4a7c15L;
        return (int) Long.remainderUnsigned(h ^ h >>> 29, nodes);
    }
}
