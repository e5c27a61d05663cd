package quotagateway.scale.soak;

/** One attempt as a place server saw it; times are milliseconds of the run. */
final class Execution {
    final String request;
    final int endpoint;
    /** When its last byte had come. */
    final double startedAt;
    /** What it said its client would still wait. */
    final double statedTimeout;
    /** Whether the work was done, or may have been: a refusal is none. */
    final boolean mayHaveRun;
    /** When it was answered, or its connection ended; infinite while it is out. */
    volatile double endedAt = Double.POSITIVE_INFINITY;

    Execution(String request, int server, double began, double patience, boolean ran) {
        this.request = request;
        this.endpoint = server;
        this.startedAt = began;
        this.statedTimeout = patience;
        this.mayHaveRun = ran;
    }
}
