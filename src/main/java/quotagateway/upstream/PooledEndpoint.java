package quotagateway.upstream;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.transport.EventLoopContext;

/**
 * One endpoint that the policy uses: its connections, and the attempts that wait for one. It is not in use while its
 * descriptor says that it drains, or once it is removed or has moved; what is in flight there may end.
 */
final class PooledEndpoint {
    private final EndpointPool pool;
    private final EventLoopContext loop;
    private final String id;
    private final long address;
    private final Set<EndpointConnection> connections = new LinkedHashSet<>();
    /** Those of the connections on which nothing is in flight, the one used last at the end. */
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();

    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    private EndpointDescriptor descriptor;
    private int connecting;
    private boolean inUse;
    private int listNumber;

    PooledEndpoint(EndpointPool pool, EventLoopContext loop, EndpointDescriptor descriptor) {
        this.pool = pool;
        this.loop = loop;
        this.descriptor = descriptor;
        id = descriptor.id();
        address = descriptor.address();
    }

    String id() {
        return id;
    }

    /** The packed address that its connections go to. */
    long address() {
        return address;
    }

    EndpointDescriptor descriptor() {
        return descriptor;
    }

    /** Whether new attempts may go to it. */
    boolean isInUse() {
        return inUse;
    }

    /** Notes the number of the whole list that names it. */
    void listedIn(int number) {
        listNumber = number;
    }

    boolean isListedIn(int number) {
        return listNumber == number;
    }

    /** Takes it into use, and connects ahead of the first attempt. */
    void use(EndpointDescriptor current) {
        descriptor = current;
        inUse = true;
        if (connections.isEmpty() && connecting == 0) {
            pool.connect(this);
        }
    }

    /** Takes it out of use. */
    void retire() {
        inUse = false;
        withdraw();
    }

    /** Closes idle connections, and ends the attempts that wait. */
    void withdraw() {
        for (EndpointConnection connection : idle.toArray(new EndpointConnection[0])) {
            connection.close(CloseReason.SERVER_NOT_USED);
        }
        while (!waiting.isEmpty()) {
            pool.endLater(waiting.poll(), CallOutcome.NO_CONNECTION);
        }
    }

    // ---- attempts ----

    /**
     * Writes an attempt on the connection that was used last, of those that have rested; false where there is none.
     * Connections that have been idle for too long are closed on the way.
     */
    boolean writeOnIdleConnection(Attempt attempt) {
        double now = loop.now();
        for (Iterator<EndpointConnection> it = idle.descendingIterator(); it.hasNext(); ) {
            EndpointConnection connection = it.next();
            if (connection.isExpired(now)) {
                it.remove();
                connection.close(CloseReason.IDLE_LIMIT);
            } else if (connection.isReady(now)) {
                it.remove();
                connection.send(attempt);
                return true;
            }
        }
        return false;
    }

    void addWaiting(Attempt attempt) {
        waiting.add(attempt);
    }

    void removeWaiting(Attempt attempt) {
        waiting.remove(attempt);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Serves the attempts that wait once an idle connection has rested. */
    void serveWaitingAfterRest() {
        loop.schedule(ConnectionUsage.REST_MS, this::serveWaiting);
    }

    /**
     * Writes attempts that wait on idle connections, the oldest first, and connects where more wait than there are
     * connections for. Those that must not be sent any more, as time has gone on meanwhile, are ended.
     */
    void serveWaiting() {
        waiting.removeIf(this::endIfDenied);
        while (!waiting.isEmpty() && writeOnIdleConnection(waiting.peek())) {
            waiting.poll();
        }
        if (hasTooFewConnections()) {
            pool.connect(this);
        }
    }

    private boolean endIfDenied(Attempt attempt) {
        boolean denied = !attempt.isHealthCheck() && attempt.request().denies(attempt);
        if (denied) {
            pool.endLater(attempt, CallOutcome.NOT_SENT);
        }
        return denied;
    }

    private boolean hasTooFewConnections() {
        return waiting.size() > connecting + idle.size();
    }

    // ---- connections ----

    boolean isConnecting() {
        return connecting > 0;
    }

    void onConnecting() {
        connecting++;
    }

    void onConnected(EndpointConnection connection) {
        connecting--;
        connections.add(connection);
        if (inUse) {
            connection.release();
            connection.skipRest();
            serveWaiting();
        } else {
            connection.close(CloseReason.SERVER_NOT_USED);
        }
    }

    /**
     * A connection could not be made. Each attempt that waits has begun one, so the oldest goes without.
     */
    void onConnectFailed() {
        connecting--;
        if (hasTooFewConnections()) {
            pool.endLater(waiting.poll(), CallOutcome.NO_CONNECTION);
        }
    }

    void onClosed(EndpointConnection connection) {
        idle.remove(connection);
        connections.remove(connection);
        if (inUse && !waiting.isEmpty()) {
            serveWaiting();
        }
    }

    boolean hasIdleConnection() {
        return !idle.isEmpty();
    }

    /** A connection can be used again after its rest. */
    void addIdle(EndpointConnection connection) {
        idle.addLast(connection);
        if (!waiting.isEmpty()) {
            serveWaitingAfterRest();
        }
    }

    /** Closes the connection that has been idle for longest; false where none is idle. */
    boolean closeOneIdle(CloseReason reason) {
        if (idle.isEmpty()) {
            return false;
        }
        idle.poll().close(reason);
        return true;
    }

    /** Closes the connections that have been idle since before a time (ms) of the loop's clock. */
    void closeIdleSinceBefore(double timeMs) {
        while (!idle.isEmpty() && idle.peek().isIdleSinceBefore(timeMs)) {
            idle.poll().close(CloseReason.RETIRED);
        }
    }
}
