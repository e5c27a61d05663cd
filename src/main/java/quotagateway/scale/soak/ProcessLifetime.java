package quotagateway.scale.soak;

/** The life of one process of a node; times are milliseconds of the run, infinite until they come. */
final class ProcessLifetime {
    final int node;
    final int number;
    final double startedAt;
    double readyAt = Double.POSITIVE_INFINITY;
    double terminatedAt = Double.POSITIVE_INFINITY;
    /** When it was killed, while it ran. */
    double killedAt = Double.POSITIVE_INFINITY;

    double endedAt = Double.POSITIVE_INFINITY;

    ProcessLifetime(int node, int number, double started) {
        this.node = node;
        this.number = number;
        this.startedAt = started;
    }

    /** Killed with no word before. */
    boolean isKilledOutright() {
        return killedAt < Double.POSITIVE_INFINITY && terminatedAt == Double.POSITIVE_INFINITY;
    }

    @Override
    public String toString() {
        return String.format(
                "n%d process %d: started %.0f ready %.0f SIGTERM %.0f SIGKILL %.0f ended %.0f",
                node, number, startedAt, readyAt, terminatedAt, killedAt, endedAt);
    }
}
