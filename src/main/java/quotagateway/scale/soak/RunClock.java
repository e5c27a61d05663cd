package quotagateway.scale.soak;

/** Milliseconds since the run began, on the monotonic clock. */
final class RunClock {
    private final long startNanos = System.nanoTime();

    double now() {
        return at(System.nanoTime());
    }

    double at(long nanos) {
        return (nanos - startNanos) / 1e6;
    }
}
