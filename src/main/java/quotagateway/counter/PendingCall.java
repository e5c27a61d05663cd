package quotagateway.counter;

/**
 * A call to the counter, from when it is made to its reply. It is completed once, by a reply, a timeout or the end of
 * its connection; a reply may still come for a call that was completed by its timeout.
 */
final class PendingCall {
    private final CounterConnection connection;
    private final long name;
    private final double sentAt;
    private final String[] command;
    private final boolean ping;
    private boolean written;
    private boolean completed;

    private PendingCall(CounterConnection connection, long name, double sentAt, String[] command, boolean ping) {
        this.connection = connection;
        this.name = name;
        this.sentAt = sentAt;
        this.command = command;
        this.ping = ping;
        completed = ping;
    }

    /** An add to a name, whose outcome the listener waits for. */
    static PendingCall add(CounterConnection connection, long name, double sentAt, String[] command) {
        return new PendingCall(connection, name, sentAt, command, false);
    }

    /** A check of an idle connection; it counts as completed from the start, as nobody waits for it. */
    static PendingCall ping(CounterConnection connection, double sentAt) {
        return new PendingCall(connection, 0, sentAt, CounterProtocol.ping(), true);
    }

    CounterConnection connection() {
        return connection;
    }

    long name() {
        return name;
    }

    /** When the call was made (ms of the node's clock); it may have been written later. */
    double sentAt() {
        return sentAt;
    }

    String[] command() {
        return command;
    }

    boolean isPing() {
        return ping;
    }

    /** Whether the command went out whole, so that the counter may have executed it. */
    boolean isWritten() {
        return written;
    }

    void setWritten(boolean written) {
        this.written = written;
    }

    /** Whether the listener has had an outcome. */
    boolean isCompleted() {
        return completed;
    }

    /** Completes the call; false where it was completed before. */
    boolean complete() {
        boolean first = !completed;
        completed = true;
        return first;
    }
}
