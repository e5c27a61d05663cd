package quotagateway.scale.soak;

/** One attempt as a place server saw it; times are milliseconds of the run. */
final class Execution {
    final String request;
    final int server;
    /** When its last byte had come. */
    final double began;
    /** What it said its client would still wait. */
    final double patience;
    /** Whether the work was done, or may have been: a refusal is none. */
    final boolean ran;
    /** When it was answered, or its connection ended; infinite while it is out. */
    volatile double ended = Double.POSITIVE_INFINITY;

    Execution(String request, int server, double began, double patience, boolean ran) {
        this.request = request;
        this.server = server;
        this.began = began;
        this.patience = patience;
        this.ran = ran;
    }
}
