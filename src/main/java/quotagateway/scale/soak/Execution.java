package quotagateway.scale.soak;

/** One attempt as an endpoint saw it; times are milliseconds of the run. */
final class Execution {
    final String request;
    final int endpoint;
    /** When its last byte arrived. */
    final double startedAt;
    /** How long its client will still wait, by the attempt itself. */
    final double statedTimeout;
    /** Whether the request was or may have been executed; false for a rejection. */
    final boolean mayHaveRun;
    /** When it was responded to or its connection ended; infinite while it is in flight. */
    volatile double endedAt = Double.POSITIVE_INFINITY;

    Execution(String request, int server, double began, double patience, boolean ran) {
        this.request = request;
        this.endpoint = server;
        this.startedAt = began;
        this.statedTimeout = patience;
        this.mayHaveRun = ran;
    }
}
