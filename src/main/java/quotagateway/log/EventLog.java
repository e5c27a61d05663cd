package quotagateway.log;

import java.io.PrintStream;
import java.util.ArrayDeque;

/**
 * The event log of a gateway. Recent events are kept in memory; from the beginning of a shutdown, each event is written
 * as it happens, as SIGKILL leaves no time to write it later. {@code EDGE_LOG=all} in the environment writes every
 * event from the start. The log uses no logging library, as its classes would slow down every start (see {@link
 * quotagateway.startup.StartupTimeline}). All methods are called on the event loop.
 */
public final class EventLog {
    /** Number of events that are kept to explain a later violation. */
    private static final int RECENT_EVENTS = 256;
    /** The most lines that a process writes: a flood would cost more than it explains. */
    private static final int MAX_LINES = 4_000;
    /** The most lines that a process writes if every event is requested. */
    private static final int MAX_LINES_ALL = 400_000;

    private static final String LOG_VARIABLE = "EDGE_LOG";
    private static final String ALL_EVENTS = "all";

    private final PrintStream out;
    private final ArrayDeque<Entry> recent = new ArrayDeque<>(RECENT_EVENTS);
    private final StringBuilder pendingText = new StringBuilder();
    private final int maxLines;
    private boolean writesImmediately;
    private int linesWritten;

    /** Creates a log that writes to a stream, which the caller closes. */
    public EventLog(PrintStream out) {
        this.out = out;
        writesImmediately = ALL_EVENTS.equals(System.getenv(LOG_VARIABLE));
        maxLines = writesImmediately ? MAX_LINES_ALL : MAX_LINES;
    }

    /** From now on events are written as they happen. */
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

    /** Writes the kept events of a request, to explain a later event. */
    public void writeEventsOf(String request) {
        for (Entry entry : recent) {
            if (request.equals(entry.event.request())) {
                write(entry);
            }
        }
    }

    /** Flushes the lines that the events of this round have added. */
    public void flush() {
        if (pendingText.length() > 0) {
            out.print(pendingText);
            out.flush();
            pendingText.setLength(0);
        }
    }

    private void write(Entry entry) {
        if (linesWritten++ < maxLines) {
            entry.appendTo(pendingText);
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
