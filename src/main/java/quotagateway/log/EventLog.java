package quotagateway.log;

import java.io.PrintStream;
import java.util.ArrayDeque;

/**
 * The event log of a node. Events are kept in a short memory; from the beginning of a shutdown on they are
 * written as they happen, as a kill leaves no time to tell them later. {@code EDGE_LOG=all} in the
 * environment writes them from the start. Written by hand rather than through a logging library, whose
 * classes a start would pay for (see {@link quotagateway.startup.StartupTimeline}); the loop alone uses it.
 */
public final class EventLog {
    /** Events that are kept to explain a later one. */
    private static final int KEPT = 256;
    /** Lines written in one life: a flood would cost what it is to explain. */
    private static final int LINES_MOST = 4_000;

    private static final int LINES_MOST_ALL = 400_000;
    private static final String VARIABLE = "EDGE_LOG";
    private static final String ALL = "all";

    private record Entry(double at, NodeEvent event) {
        void appendTo(StringBuilder text) {
            text.append("t=").append((long) at).append(' ').append(event.text()).append('\n');
        }
    }

    private final PrintStream out;
    private final ArrayDeque<Entry> kept = new ArrayDeque<>(KEPT);
    private final StringBuilder unwritten = new StringBuilder();
    private final int most;
    private boolean live;
    private int lines;

    public EventLog(PrintStream out) {
        this.out = out;
        live = ALL.equals(System.getenv(VARIABLE));
        most = live ? LINES_MOST_ALL : LINES_MOST;
    }

    /** From here on events are written as they happen. */
    public void writeImmediately() {
        live = true;
    }

    /** Takes an event; at is Unix time (ms) by the node's clock. A violation is written at once. */
    public void record(double at, NodeEvent event) {
        Entry entry = new Entry(at, event);
        if (live || event instanceof NodeEvent.InvariantViolated) {
            write(entry);
            return;
        }
        if (kept.size() == KEPT) {
            kept.poll();
        }
        kept.add(entry);
    }

    /** Writes what is remembered of a request: what led to an event that is to be explained. */
    public void explain(String request) {
        for (Entry entry : kept) {
            if (request.equals(entry.event.request())) {
                write(entry);
            }
        }
    }

    private void write(Entry entry) {
        if (lines++ < most) {
            entry.appendTo(unwritten);
        }
    }

    /** Writes out what the events of this round have left. */
    public void flush() {
        if (unwritten.length() > 0) {
            out.print(unwritten);
            out.flush();
            unwritten.setLength(0);
        }
    }
}
