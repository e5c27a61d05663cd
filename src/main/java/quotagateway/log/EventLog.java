package quotagateway.log;

import java.io.PrintStream;
import java.util.ArrayDeque;

/**
 * The event log of a gateway. The last events are kept in memory; from the beginning of a shutdown on each event is
 * written as it happens, as a kill leaves no time to write them later. {@code EDGE_LOG=all} in the environment writes
 * every event from the start. It is written by hand rather than with a logging library, whose classes would cost every
 * start (see {@link quotagateway.startup.StartupTimeline}). Used on the event loop alone.
 */
public final class EventLog {
    /** Events that are kept to explain a later violation. */
    private static final int RECENT_EVENTS = 256;
    /** Lines that a process writes at the most: a flood would cost more than it explains. */
    private static final int MAX_LINES = 4_000;
    /** The same where every event is asked for. */
    private static final int MAX_LINES_ALL = 400_000;

    private static final String VARIABLE = "EDGE_LOG";
    private static final String ALL_EVENTS = "all";

    private final PrintStream out;
    private final ArrayDeque<Entry> recent = new ArrayDeque<>(RECENT_EVENTS);
    private final StringBuilder unwritten = new StringBuilder();
    private final int maxLines;
    private boolean writesImmediately;
    private int lines;

    /** Writes to a stream, which stays the caller's to close. */
    public EventLog(PrintStream out) {
        this.out = out;
        writesImmediately = ALL_EVENTS.equals(System.getenv(VARIABLE));
        maxLines = writesImmediately ? MAX_LINES_ALL : MAX_LINES;
    }

    /** From here on events are written as they happen. */
    public void writeImmediately() {
        writesImmediately = true;
    }

    /** Records an event at a time of the node's clock (Unix time, ms). A violation is always written. */
    public void record(double now, NodeEvent event) {
        Entry entry = new Entry(now, event);
        if (writesImmediately || event instanceof NodeEvent.InvariantViolated) {
            write(entry);
            return;
        }
        if (recent.size() == RECENT_EVENTS) {
            recent.poll();
        }
        recent.add(entry);
    }

    /** Writes the kept events of a request: what led to an event that needs an explanation. */
    public void explain(String request) {
        for (Entry entry : recent) {
            if (request.equals(entry.event.request())) {
                write(entry);
            }
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

    private void write(Entry entry) {
        if (lines++ < maxLines) {
            entry.appendTo(unwritten);
        }
    }

    private record Entry(double time, NodeEvent event) {
        void appendTo(StringBuilder text) {
            text.append("t=")
                    .append((long) time)
                    .append(' ')
                    .append(event.text())
                    .append('\n');
        }
    }
}
