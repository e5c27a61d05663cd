package quotagateway.discovery;

import java.util.SplittableRandom;

/**
 * By when something has to come on one connection to discovery, else it is closed and the call made anew.
 *
 * <p>A change of the list counts as known 6 s after discovery had it and could be reached, and a drain is to be heard
 * of before its grace period begins. So in every state the next call is made within 6 s less that grace period, also
 * where that call fails once more. The policy's own backoff, where it asks for lists, can only make a call come
 * sooner: {@link DiscoveryClient} repeats calls by itself.
 *
 * <table><caption>Longest time until the next call (ms), and with one more silent call behind it</caption>
 * <tr><th>state</th><th>sum</th><th>next call</th><th>one silent call more</th></tr>
 * <tr><td>backoff after a call that was refused, reset or ended</td><td>MAX_DELAY_MS</td><td>80</td><td>2760</td></tr>
 * <tr><td>backoff after a call that an overloaded discovery of all gateways has turned away</td>
 * <td>MAX_OVERLOAD_DELAY_MS</td><td>1500</td><td>4180</td></tr>
 * <tr><td>connecting</td><td>CONNECT_TIMEOUT_MS + backoff</td><td>580</td><td>3260</td></tr>
 * <tr><td>part of a list, and no more of it</td><td>5 x STALLED_LIST_MS + backoff</td><td>480</td>
 * <td>3160</td></tr>
 * <tr><td>no answer, headers only, empty lines, or bytes that end in no list</td>
 * <td>MAX_ANSWER_TIMEOUT_MS + CHECK_INTERVAL_MS + backoff</td><td>2680</td><td>5360</td></tr>
 * <tr><td>a watch that has answered and falls silent</td>
 * <td>SILENCE_MS + SILENCE_SPREAD_MS + CHECK_INTERVAL_MS + INITIAL_DELAY_MS</td><td>3810</td><td>4420</td></tr>
 * <tr><td>a new address during any of them</td><td>none</td><td>0</td><td>600</td></tr></table>
 * A list that keeps coming has the time for its bytes at MIN_BYTES_PER_MS on top.
 */
final class WatchTimeout {
    /**
     * A watch sends a line every 2 s: one that is silent for longer than this (ms) is dead. The changes that it misses
     * count as known 6 s after its end, which may be as early as its last line, and the next watch has still to be
     * opened and may fail. Where a line was only late, the price is a call to an agent on this machine.
     */
    private static final double SILENCE_MS = 3100;
    /** The watches of all nodes may fall silent at once: this much (ms) spreads the calls that follow. */
    private static final double SILENCE_SPREAD_MS = 600;
    /** A list that comes is given the time for its bytes at this pace: a slower one counts as one without an end. */
    private static final double MIN_BYTES_PER_MS = 256;
    /**
     * Lists come in one go: when nothing follows part of a list for so long (ms), no more will, and its changes must be
     * known within the grace period for drains. The call is then made anew, from the last whole list on. Where lists
     * are merely slow this costs a connection and the backoff each, and the next may stall for longer, in proportion
     * to its answer timeout.
     */
    private static final double STALLED_LIST_MS = 80;

    private double answerTimeoutMs;
    /** When the call was made or the list that is coming began, and the bytes since. */
    private double startedAt;

    private double bytesSinceStart;
    private double lastReadAt;
    private double silenceMs;

    /** A request is sent, which may take so long to be answered. */
    void onRequest(double now, double timeoutMs) {
        onProgress(now);
        answerTimeoutMs = timeoutMs;
    }

    /** A list has begun or ended: what follows has the whole time again. */
    void onProgress(double now) {
        startedAt = now;
        bytesSinceStart = 0;
    }

    /** Something was read; draws how long the connection may be silent from here on. */
    void onRead(double now, SplittableRandom random) {
        lastReadAt = now;
        silenceMs = SILENCE_MS + SILENCE_SPREAD_MS * random.nextDouble();
    }

    /** Bytes that earn the list that is coming more time. */
    void onBytes(int count) {
        bytesSinceStart += count;
    }

    /** The call has answered: what is asked of it from here on has the shortest time. */
    void onAnswered() {
        answerTimeoutMs = DiscoveryBackoff.INITIAL_ANSWER_TIMEOUT_MS;
    }

    /** By when a watch that has answered, and is between two lists, has to send something. */
    double silenceDeadline() {
        return lastReadAt + silenceMs;
    }

    /** By when a call has to answer, or a list that has begun has to end. */
    double answerDeadline() {
        return startedAt + answerTimeoutMs + bytesSinceStart / MIN_BYTES_PER_MS;
    }

    /** For how long (ms) nothing may follow part of a list. */
    double stalledListMs() {
        return STALLED_LIST_MS * answerTimeoutMs / DiscoveryBackoff.INITIAL_ANSWER_TIMEOUT_MS;
    }
}
