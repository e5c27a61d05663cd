package quotagateway.client;

import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.lifecycle.CloseReason;
import quotagateway.transport.EventLoopContext;

/**
 * The open connections of a listener. Enforces their limit, chooses the connection to evict for a new one, and closes
 * connections whose command is overdue or that are idle while the node shuts down.
 */
final class ConnectionTable {
    /** Time (ms) without a complete command after which a connection gets an error and is closed. */
    private static final double COMMAND_TIMEOUT_MS = 2500;
    /**
     * Time (ms) after which a connection without a first command may be evicted. Clients send a command as soon as they
     * have connected, so a later first command is not expected.
     */
    private static final double EVICTABLE_AFTER_MS = 500;
    /** Time (ms) that a connection has for its first command during the shutdown. */
    private static final double FIRST_COMMAND_TIMEOUT_MS = 1000;
    /** Interval (ms) between checks for idle connections during the shutdown. */
    private static final double SHUTDOWN_SWEEP_INTERVAL_MS = 50;
    /** Delay (ms) that lets input that has arrived already be read before a connection is considered idle. */
    private static final double NEXT_ITERATION_MS = 1;

    private static final ClientConnection[] NO_CONNECTIONS = {};

    private final EventLoopContext loop;
    /** How long (ms) a connection's output has to be blocked before the connection may be closed for others' sake. */
    private final double outputBlockedTimeoutMs;
    /** All connections except evicted ones; those that have been without a request for longest come first. */
    private final Set<ClientConnection> openConnections = new LinkedHashSet<>();
    /** The open connections that have sent no complete command yet, the oldest first. */
    private final Set<ClientConnection> awaitingFirstCommand = new LinkedHashSet<>();
    /** The evicted connections whose clients have not closed their side yet, the oldest first. */
    private final Set<ClientConnection> evicted = new LinkedHashSet<>();
    /** Also set by the thread that starts the node. */
    private volatile int limit;

    private boolean closingAfterResponses;

    ConnectionTable(EventLoopContext loop, int limit, double outputBlockedTimeoutMs) {
        this.loop = loop;
        this.outputBlockedTimeoutMs = outputBlockedTimeoutMs;
        this.limit = limit;
    }

    // ---- the connections ----

    void add(ClientConnection connection) {
        openConnections.add(connection);
        awaitingFirstCommand.add(connection);
    }

    /** Called when a complete command has arrived, before its response slot is added to the connection. */
    void onCommand(ClientConnection connection) {
        awaitingFirstCommand.remove(connection);
        if (!connection.hasOpenResponses()) {
            openConnections.remove(connection);
            openConnections.add(connection);
        }
    }

    boolean isAwaitingFirstCommand(ClientConnection connection) {
        return awaitingFirstCommand.contains(connection);
    }

    /** Called when a connection has ended. */
    void remove(ClientConnection connection) {
        openConnections.remove(connection);
        awaitingFirstCommand.remove(connection);
        evicted.remove(connection);
    }

    /** Returns whether there is no connection, not even an evicted one that its client has not closed. */
    boolean isEmpty() {
        return openConnections.isEmpty() && evicted.isEmpty();
    }

    /** Resumes the connections that were held back because the buffers of all requests were full. */
    void resumeReading() {
        for (ClientConnection connection : snapshot()) {
            connection.updateReading();
        }
    }

    // ---- the limit ----

    /** Sets the limit of connections; connections beyond it are evicted as others open or end. */
    void setLimit(int connections) {
        limit = connections;
    }

    /** Returns whether another connection may be accepted, within the limit or to evict another one for it. */
    boolean hasCapacity() {
        return openConnections.size() < limit + ClientListener.connectionsBeyondLimit(limit);
    }

    /**
     * Evicts connections until the limit is met or no connection may be evicted; then one whose client takes nothing.
     */
    void evictBeyondLimit() {
        ClientConnection candidate = evictionCandidate();
        while (candidate != null) {
            evict(candidate);
            candidate = evictionCandidate();
        }
        if (openConnections.size() > limit) {
            closeLongestBlocked();
        }
    }

    /**
     * Closes the connection whose output has been blocked for longest, if that is long enough: memory, descriptors or
     * connections to endpoints have run out, and such a client may hold some of each forever.
     */
    void closeLongestBlocked() {
        ClientConnection longest = null;
        double longestMs = outputBlockedTimeoutMs;
        for (ClientConnection connection : openConnections) {
            if (connection.outputBlockedMs() > longestMs) {
                longestMs = connection.outputBlockedMs();
                longest = connection;
            }
        }
        if (longest != null) {
            longest.closeNow(CloseReason.UNREAD);
        }
    }

    /** Notes how much output of each connection the system has not taken over yet; called periodically. */
    void sampleOutput() {
        openConnections.forEach(ClientConnection::sampleOutput);
    }

    /**
     * Returns the connection to evict, or null if the limit is met or no connection may be evicted. The first choice is
     * the oldest connection that has had the time for a first command and has sent nothing. The second is the
     * connection that has been between requests for longest, whose client sees the close immediately. The last is the
     * oldest connection with an incomplete first command, as that may be a valid request on a slow network. Before that
     * comes one that only waits for its client to close its side.
     */
    private ClientConnection evictionCandidate() {
        if (openConnections.size() <= limit) {
            return null;
        }
        ClientConnection oldestWithPartialCommand = null;
        double openedBeforeMs = loop.now() - EVICTABLE_AFTER_MS;
        for (ClientConnection connection : awaitingFirstCommand) {
            if (connection.isReading() && connection.wasOpenedBefore(openedBeforeMs)) {
                if (!connection.hasUnprocessedInput()) {
                    return connection;
                }
                oldestWithPartialCommand = oldestWithPartialCommand == null ? connection : oldestWithPartialCommand;
            }
        }
        for (ClientConnection connection : openConnections) {
            if (connection.isIdle() && !isAwaitingFirstCommand(connection) && connection.isFlushed()) {
                return connection;
            }
        }
        for (ClientConnection connection : openConnections) {
            if (connection.isAwaitingClose()) {
                return connection;
            }
        }
        return oldestWithPartialCommand;
    }

    /**
     * Closes a connection gracefully: its client has time to see the end of the stream, and what the client sends
     * meanwhile is read and dropped, as a close with unread input would be a reset that discards the last response. If
     * many connections are evicted, the oldest of these are closed immediately.
     */
    private void evict(ClientConnection connection) {
        openConnections.remove(connection);
        awaitingFirstCommand.remove(connection);
        evicted.add(connection);
        connection.closeGracefully(CloseReason.EVICTED);
        if (evicted.size() > ClientListener.connectionsBeyondLimit(limit)) {
            ClientConnection oldest = evicted.iterator().next();
            evicted.remove(oldest); // before its channel reports the close
            oldest.closeNow(CloseReason.EVICTED);
        }
    }

    /** Rejects connections whose command is overdue, as they would use up the limit. */
    void rejectOverdueCommands() {
        double waitingBeforeMs = loop.now() - COMMAND_TIMEOUT_MS;
        for (ClientConnection connection : snapshot()) {
            if (connection.isCommandOverdue(waitingBeforeMs)) {
                connection.rejectInput("no whole command came");
            }
        }
    }

    // ---- the shutdown ----

    /** Makes each connection close after its last response from now on. */
    void closeAfterResponses() {
        closingAfterResponses = true;
    }

    boolean isClosingAfterResponses() {
        return closingAfterResponses;
    }

    /**
     * Closes connections that are between requests, and repeats this until none is left. Waits for a command that has
     * partly arrived or that may be in transit on a new connection, as otherwise its client would have to send the
     * command to another gateway.
     */
    void closeIdle() {
        if (!openConnections.isEmpty()) {
            loop.schedule(SHUTDOWN_SWEEP_INTERVAL_MS, this::closeIdle); // first, so that a fault doesn't end the sweeps
        }
        for (ClientConnection connection : snapshot()) {
            boolean mayClose = !isAwaitingFirstCommand(connection)
                    || connection.wasOpenedBefore(loop.now() - FIRST_COMMAND_TIMEOUT_MS);
            if (mayClose && connection.isIdle()) {
                loop.schedule(NEXT_ITERATION_MS, connection::closeIfIdle);
            }
        }
    }

    /**
     * Closes each connection without an open request, as the process is about to exit. A client whose command has only
     * partly arrived gets an error, as it would get no other response.
     */
    void closeAll() {
        for (ClientConnection connection : snapshot()) {
            connection.closeUnlessRequestOpen();
        }
    }

    /** Returns a copy of the open connections, as connections are removed during an iteration. */
    private ClientConnection[] snapshot() {
        return openConnections.toArray(NO_CONNECTIONS);
    }
}
