package quotagateway.node;

import quotagateway.transport.DirectMemory;
import quotagateway.transport.EventLoopContext;

/**
 * Decides by the memory that all buffers hold whether clients may be read. At its limit for requests, values that have
 * not arrived completely are dropped and their requests rejected. At its limit for responses, which only short commands
 * can reach, no client is read, so that the kernel, and then the clients themselves, hold what is still to be sent.
 */
final class MemoryBudget {
    /** Interval (ms) between checks for memory while no client is read. */
    private static final double CHECK_INTERVAL_MS = 10;

    private final EventLoopContext loop;
    private final DirectMemory memory;
    private Runnable onAvailable = () -> {};
    private Runnable onShortage = () -> {};
    private boolean checkScheduled;

    MemoryBudget(EventLoopContext loop, DirectMemory memory) {
        this.loop = loop;
        this.memory = memory;
    }

    /** Sets the action that runs each time the budget stops being exhausted. */
    void onAvailable(Runnable action) {
        onAvailable = action;
    }

    /** Sets the action that runs at each check that finds the budget exhausted. */
    void onShortage(Runnable action) {
        onShortage = action;
    }

    /** Returns whether no client may be read; if so, the end of that is reported. */
    boolean isExhausted() {
        boolean exhausted = !memory.hasRoomForResponse(0);
        if (exhausted && !checkScheduled) {
            checkScheduled = true;
            loop.schedule(CHECK_INTERVAL_MS, this::check);
        }
        return exhausted;
    }

    private void check() {
        checkScheduled = false;
        if (isExhausted()) {
            onShortage.run();
        } else {
            onAvailable.run();
        }
    }

    /** Returns whether so many more bytes of a request may be held. */
    boolean hasRoomForRequest(int bytes) {
        return memory.hasRoomForRequest(bytes);
    }
}
