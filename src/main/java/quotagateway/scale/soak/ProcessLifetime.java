package quotagateway.scale.soak;

/** The life of one process of a node; times are milliseconds of the run, infinite until they come. */
final class ProcessLifetime {
    final int node;
    final int number;
    final double started;
    double ready = Double.POSITIVE_INFINITY;
    double terminated = Double.POSITIVE_INFINITY;
    /** When it was killed, while it ran. */
    double killed = Double.POSITIVE_INFINITY;

    double ended = Double.POSITIVE_INFINITY;

    ProcessLifetime(int node, int number, double started) {
        this.node = node;
        this.number = number;
        this.started = started;
    }

    /** Killed with no word before. */
    boolean isKilledOutright() {
        return killed < Double.POSITIVE_INFINITY && terminated == Double.POSITIVE_INFINITY;
    }

    @Override
    public String toString() {
        return String.format(
                "n%d process %d: started %.0f ready %.0f SIGTERM %.0f SIGKILL %.0f ended %.0f",
                node, number, started, ready, terminated, killed, ended);
    }
}
