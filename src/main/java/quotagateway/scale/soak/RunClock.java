package quotagateway.scale.soak;

/** Milliseconds since the run began, on the monotonic clock. */
final class RunClock {
    private final long begun = System.nanoTime();

    double now() {
        return at(System.nanoTime());
    }

    double at(long nanos) {
        return (nanos - begun) / 1e6;
    }
}
