package quotagateway.client;

import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.lifecycle.CloseReason;
import quotagateway.transport.EventLoopContext;

/**
 * The open connections of a listener: how many there may be, which one is evicted for a new one, and which ones are
 * ended because they send no whole command or because the node shuts down.
 */
final class ConnectionTable {
    /** A connection on which no whole command comes for so long (ms) is told so and ended. */
    private static final double COMMAND_TIMEOUT_MS = 2500;
    /**
     * A connection without a first command may be evicted after this (ms). Clients send one as soon as they are
     * connected, so one that comes later is not expected.
     */
    private static final double EVICTABLE_AFTER_MS = 500;
    /** During the shutdown, a connection has so long (ms) for its first command. */
    private static final double FIRST_COMMAND_TIMEOUT_MS = 1000;
    /** During the shutdown, connections that can be ended are looked for this often (ms). */
    private static final double SHUTDOWN_SWEEP_INTERVAL_MS = 50;
    /** Lets all that has come by now be read before a connection is taken to be idle. */
    private static final double NEXT_ROUND_MS = 1;

    private static final ClientConnection[] NONE = {};

    private final EventLoopContext loop;
    /** All connections but evicted ones, those first that have been without a request for longest. */
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Those of the open ones that have sent no whole command yet, the oldest first. */
    private final Set<ClientConnection> awaitingFirstCommand = new LinkedHashSet<>();
    /** Those that were evicted and whose clients have not closed their side yet, the oldest first. */
    private final Set<ClientConnection> evicted = new LinkedHashSet<>();
    /** Set by the thread that starts the node too. */
    private volatile int limit;

    private boolean closingAfterResponses;

    ConnectionTable(EventLoopContext loop, int limit) {
        this.loop = loop;
        this.limit = limit;
    }

    // ---- the connections ----

    void add(ClientConnection connection) {
        open.add(connection);
        awaitingFirstCommand.add(connection);
    }

    /** A whole command has come on a connection, and is not among the responses that it owes yet. */
    void onCommand(ClientConnection connection) {
        awaitingFirstCommand.remove(connection);
        if (!connection.hasOpenResponses()) {
            open.remove(connection);
            open.add(connection);
        }
    }

    boolean isAwaitingFirstCommand(ClientConnection connection) {
        return awaitingFirstCommand.contains(connection);
    }

    /** A connection has ended. */
    void remove(ClientConnection connection) {
        open.remove(connection);
        awaitingFirstCommand.remove(connection);
        evicted.remove(connection);
    }

    /** Whether there is no connection, not even an evicted one that its client has not closed. */
    boolean isEmpty() {
        return open.isEmpty() && evicted.isEmpty();
    }

    /** Lets each connection read on that was held back because too much was buffered for all requests. */
    void resumeReading() {
        for (ClientConnection connection : snapshot()) {
            connection.updateReading();
        }
    }

    // ---- the limit ----

    /** Sets how many connections there may be; those that are too many then are evicted as others come or end. */
    void setLimit(int connections) {
        limit = connections;
    }

    /** Whether one more connection may be accepted, to be held or to have another one evicted for it. */
    boolean hasCapacity() {
        return open.size() < limit + ClientListener.connectionsBeyondLimit(limit);
    }

    /** Evicts connections until the limit holds, or none may be evicted. */
    void evictBeyondLimit() {
        ClientConnection candidate = evictionCandidate();
        while (candidate != null) {
            evict(candidate);
            candidate = evictionCandidate();
        }
    }

    /**
     * The connection to evict, or null where the limit holds or all have open requests. First comes one that has
     * sent nothing and had the time to; then the one that has been between requests for longest, whose client finds
     * the end at once; and last the oldest with the beginning of its first command, as that may be a true request on
     * a slow way.
     */
    private ClientConnection evictionCandidate() {
        if (open.size() <= limit) {
            return null;
        }
        ClientConnection oldestWithBegunCommand = null;
        double openedBefore = loop.now() - EVICTABLE_AFTER_MS;
        for (ClientConnection connection : awaitingFirstCommand) {
            if (connection.isReading() && connection.isOpenSinceBefore(openedBefore)) {
                if (!connection.isCommandBegun()) {
                    return connection;
                }
                oldestWithBegunCommand = oldestWithBegunCommand == null ? connection : oldestWithBegunCommand;
            }
        }
        for (ClientConnection connection : open) {
            if (connection.isIdle() && !isAwaitingFirstCommand(connection) && connection.isFlushed()) {
                return connection;
            }
        }
        return oldestWithBegunCommand;
    }

    /**
     * Ends a connection in order: its client has a while to see the end, and what it sends meanwhile is dropped, as a
     * close over it would be a reset that takes the last response with it. Of many evicted ones the first are closed
     * at once.
     */
    private void evict(ClientConnection connection) {
        open.remove(connection);
        awaitingFirstCommand.remove(connection);
        evicted.add(connection);
        connection.finish(CloseReason.EVICTED);
        if (evicted.size() > ClientListener.connectionsBeyondLimit(limit)) {
            ClientConnection first = evicted.iterator().next();
            evicted.remove(first); // before its channel tells of the end
            first.closeNow(CloseReason.EVICTED);
        }
    }

    /** Ends connections that have been waited on for a whole command for too long: they would fill the limit. */
    void rejectOverdueCommands() {
        double waitingBefore = loop.now() - COMMAND_TIMEOUT_MS;
        for (ClientConnection connection : snapshot()) {
            if (connection.isCommandOverdue(waitingBefore)) {
                connection.rejectInput("no whole command came");
            }
        }
    }

    // ---- the shutdown ----

    /** Has each connection end behind its last response from now on. */
    void closeAfterResponses() {
        closingAfterResponses = true;
    }

    boolean isClosingAfterResponses() {
        return closingAfterResponses;
    }

    /**
     * Ends connections that are between requests, again and again until there is none. Where a command has begun, or
     * may be on its way on a new connection, it is waited for: else its client would have to ask elsewhere.
     */
    void closeIdle() {
        if (!open.isEmpty()) {
            loop.schedule(SHUTDOWN_SWEEP_INTERVAL_MS, this::closeIdle); // first, so that a fault doesn't end the sweeps
        }
        for (ClientConnection connection : snapshot()) {
            boolean firstCommandDue = !isAwaitingFirstCommand(connection)
                    || connection.isOpenSinceBefore(loop.now() - FIRST_COMMAND_TIMEOUT_MS);
            if (firstCommandDue && connection.isIdle()) {
                loop.schedule(NEXT_ROUND_MS, connection::finishIfIdle);
            }
        }
    }

    /**
     * Ends each connection without an open request, as the process is about to end. A client with half a command on
     * its way is told so, as it would never hear what becomes of it.
     */
    void closeAll() {
        for (ClientConnection connection : snapshot()) {
            connection.finishUnlessRequestOpen();
        }
    }

    /** A copy, as connections that end are taken out meanwhile. */
    private ClientConnection[] snapshot() {
        return open.toArray(NONE);
    }
}
