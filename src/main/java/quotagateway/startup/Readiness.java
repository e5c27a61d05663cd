package quotagateway.startup;

import java.util.concurrent.CompletableFuture;
import quotagateway.transport.EventLoopContext;

/**
 * When an edge node that starts has waited long enough: for its list, for connections to app servers and to
 * the counter. Nothing of it has to come. Restarted nodes are to be ready within 10 s, on short days within
 * 6 s, also when all start together and all else is silent, so what was spent before comes off the wait.
 *
 * <table><caption>Longest start (ms) behind the JVM's own</caption>
 * <tr><th>part</th><th>at the most</th></tr>
 * <tr><td>warm-up</td><td>Warmup.MOST_TIME</td><td>2500</td></tr>
 * <tr><td>waits, with a list known from before</td><td>WITHIN</td><td>2000</td></tr>
 * <tr><td>waits, without</td><td>LIST_WITHOUT, or BY less the parts before</td><td>4000</td></tr>
 * <tr><td>all, while the parts before stay under BY - LIST_WITHIN</td><td>BY</td><td>5000</td></tr></table>
 */
public final class Readiness {
    /**
     * A list known from before serves after this (ms), until discovery's comes: seconds later after a mass
     * kill. Until then discovery is waited for, and one quiet call to it: what it has counts as told.
     */
    static final double LIST_WITHIN = 800;
    /** Connections that are not up by then (ms) are made when they are asked for. */
    static final double WITHIN = 2000;
    /** Without any list there is nothing to serve by: waited for somewhat longer (ms). */
    public static final double LIST_WITHOUT = 4000;
    /** Ready by then (ms), counted from the first line of the program, where the processor allows it. */
    static final double BY = 5000;

    private Readiness() {}

    /** Done once all three are, or have been waited for; spent are the ms of the start before. */
    public static CompletableFuture<Void> of(
            EventLoopContext clock,
            double spent,
            boolean known,
            CompletableFuture<Void> discovery,
            CompletableFuture<Void> servers,
            CompletableFuture<Void> counter) {
        CompletableFuture<Void> list = new CompletableFuture<>();
        discovery.thenRun(() -> list.complete(null));
        if (known) {
            clock.schedule(LIST_WITHIN, () -> list.complete(null));
        }
        CompletableFuture<Void> ready = new CompletableFuture<>();
        CompletableFuture.allOf(list, servers, counter).thenRun(() -> ready.complete(null));
        double most = Math.min(known ? WITHIN : LIST_WITHOUT, BY - spent);
        clock.schedule(Math.max(LIST_WITHIN, most), () -> ready.complete(null));
        return ready;
    }
}
