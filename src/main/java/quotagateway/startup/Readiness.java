package quotagateway.startup;

import java.util.concurrent.CompletableFuture;
import quotagateway.transport.EventLoopContext;

/**
 * Decides when a starting gateway has waited long enough for its endpoint list, for connections to endpoints and for
 * the shared counter. The gateway also starts without them: restarted gateways have to be ready within 10 s (6 s in
 * short runs), even if all of them start together and no other service responds. Therefore the time that the start has
 * taken before is subtracted from the wait.
 *
 * <table><caption>Longest start (ms) after the start of the JVM</caption>
 * <tr><th>phase</th><th>bound</th><th>ms</th></tr>
 * <tr><td>warm-up</td><td>JitWarmup.MAX_TIME_MS</td><td>2500</td></tr>
 * <tr><td>wait with a cached list</td><td>MAX_WAIT_WITH_LIST_MS</td><td>2000</td></tr>
 * <tr><td>wait without one</td><td>MAX_WAIT_WITHOUT_LIST_MS, or READY_BY_MS - earlier phases</td><td>4000</td></tr>
 * <tr><td>total, if the earlier phases take under READY_BY_MS - CACHED_LIST_AFTER_MS</td><td>READY_BY_MS</td>
 * <td>5000</td></tr></table>
 */
public final class Readiness {
    /**
     * After this time (ms) a cached list is used until discovery sends its own, which after a mass kill may be seconds
     * later. The time before includes one unanswered call to discovery, as a node is expected to know the list that
     * discovery has.
     */
    private static final double CACHED_LIST_AFTER_MS = 800;
    /**
     * The longest wait (ms) with a cached list. Connections that are not up by then are made when a request needs them.
     */
    private static final double MAX_WAIT_WITH_LIST_MS = 2000;
    /**
     * The longest wait (ms) of a starting gateway without a cached list. It is longer than the wait with a cached list,
     * as a gateway that starts without any endpoint list has no endpoint to send requests to.
     */
    public static final double MAX_WAIT_WITHOUT_LIST_MS = 4000;
    /** The gateway is ready this long (ms) after the start of the program, as far as the processor allows. */
    private static final double READY_BY_MS = 5000;

    private Readiness() {}

    /**
     * Returns a future that completes once all three are ready or the wait for them has ended.
     *
     * @param clock of the node
     * @param elapsedMs time that the start has taken so far
     * @param hasCachedList whether there is an endpoint list from an earlier process
     * @param discovery completes with the first list that discovery sends
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
