package quotagateway.startup;

import java.util.concurrent.CompletableFuture;
import quotagateway.transport.EventLoopContext;

/**
 * Decides when a gateway that starts has waited long enough for its endpoint list, for connections to endpoints and for
 * the shared counter. None of them has to come: restarted gateways have to be ready within 10 s, on short days within
 * 6 s, even if all of them start together and everything else is silent. So the time that the start took before comes
 * off the wait.
 *
 * <table><caption>Longest start (ms) behind the JVM's own</caption>
 * <tr><th>phase</th><th>bound</th><th>ms</th></tr>
 * <tr><td>warm-up</td><td>JitWarmup.MAX_TIME_MS</td><td>2500</td></tr>
 * <tr><td>waits, with a cached list</td><td>MAX_WAIT_WITH_LIST_MS</td><td>2000</td></tr>
 * <tr><td>waits, without</td><td>MAX_WAIT_WITHOUT_LIST_MS, or READY_BY_MS less the phases before</td><td>4000</td></tr>
 * <tr><td>all, while the phases before stay under READY_BY_MS - CACHED_LIST_AFTER_MS</td><td>READY_BY_MS</td>
 * <td>5000</td></tr></table>
 */
public final class Readiness {
    /**
     * After this time (ms) a cached list serves until discovery's own list comes; after a mass kill that may be seconds
     * later. Until then discovery is waited for, and one unanswered call to it: a node counts as informed of what
     * discovery has.
     */
    private static final double CACHED_LIST_AFTER_MS = 800;
    /** Connections that are not up by then are made when a request needs them. */
    private static final double MAX_WAIT_WITH_LIST_MS = 2000;
    /** Without any list there is nothing to serve by, so it is waited for longer (ms). */
    public static final double MAX_WAIT_WITHOUT_LIST_MS = 4000;
    /** Ready by then, counted from the start of the program, as far as the processor allows it. */
    private static final double READY_BY_MS = 5000;

    private Readiness() {}

    /**
     * Returns a future that completes once all three parts are ready or have been waited for.
     *
     * @param clock of the node
     * @param elapsedMs what the start has taken before
     * @param hasCachedList whether there is an endpoint list of an earlier process
     * @param discovery completes with the first list of discovery's own
     * @param endpoints completes with the first connections to endpoints
     * @param counter completes with the connections to the counter
     */
    public static CompletableFuture<Void> of(
            EventLoopContext clock,
            double elapsedMs,
            boolean hasCachedList,
            CompletableFuture<Void> discovery,
            CompletableFuture<Void> endpoints,
            CompletableFuture<Void> counter) {
        CompletableFuture<Void> list = new CompletableFuture<>();
        discovery.thenRun(() -> list.complete(null));
        if (hasCachedList) {
            clock.schedule(CACHED_LIST_AFTER_MS, () -> list.complete(null));
        }
        CompletableFuture<Void> ready = new CompletableFuture<>();
        CompletableFuture.allOf(list, endpoints, counter).thenRun(() -> ready.complete(null));
        double maxWaitMs =
                Math.min(hasCachedList ? MAX_WAIT_WITH_LIST_MS : MAX_WAIT_WITHOUT_LIST_MS, READY_BY_MS - elapsedMs);
        clock.schedule(Math.max(CACHED_LIST_AFTER_MS, maxWaitMs), () -> ready.complete(null));
        return ready;
    }
}
