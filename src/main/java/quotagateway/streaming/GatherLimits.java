package quotagateway.streaming;

/**
 * How much of a streamed response is gathered, and for how long, before its first byte is written. Behind half a value
 * no response can follow on its connection, so a value that breaks off later costs the responses behind it.
 *
 * @param memory for the bytes that are gathered
 * @param aloneMs longest time (ms) from its turn on if no command has arrived behind the request
 * @param withCommandsBehindMs the same, if one has
 * @param latestBeginAtMs when the first byte is written at the latest (ms of the loop's clock)
 */
public record GatherLimits(Memory memory, double aloneMs, double withCommandsBehindMs, double latestBeginAtMs) {
    /** The memory for values that are gathered. */
    @FunctionalInterface
    public interface Memory {
        /** Returns whether more may be gathered of a value, behind which commands have arrived or not. */
        boolean hasRoom(boolean commandsBehind);
    }

    /** Returns when the first byte of a value whose turn came then is written at the latest (ms). */
    double beginAtMs(double turnAtMs, boolean commandsBehind) {
        return Math.min(latestBeginAtMs, turnAtMs + (commandsBehind ? withCommandsBehindMs : aloneMs));
    }
}
