package quotagateway.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** CPU of this thread between begin and end, less what a reading costs itself. */
final class CpuMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int COST_READINGS = 100_000;

    private static final double READING_COST_NANOS = cost();

    private long beganAtNanos;
    private double nanos;

    private static double cost() {
        double best = Double.MAX_VALUE;
        for (int round = 0; round < 5; round++) { // the first rounds are cold code
            long from = now();
            for (int i = 0; i < COST_READINGS; i++) {
                now();
            }
            best = Math.min(best, (now() - from) / (double) COST_READINGS);
        }
        return best;
    }

    private static long now() {
        return THREADS.getCurrentThreadCpuTime();
    }

    void begin() {
        beganAtNanos = now();
    }

    void end() {
        nanos += now() - beganAtNanos - READING_COST_NANOS;
    }

    /** CPU so far (us), and a new start. */
    double takeMicros() {
        double micros = nanos / 1000;
        nanos = 0;
        return micros;
    }
}
