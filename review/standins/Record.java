import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: a line for each thing that was sent, answered or run, with the ms since the start. */
final class Record implements AutoCloseable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start, of the monotonic clock. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    synchronized void add(String format, Object... values) {
        out.printf(Locale.ROOT, "%10.1f ", now());
        out.printf(Locale.ROOT, format, values);
        out.println();
    }

    /** A line that is shown on the console too. */
    synchronized void say(String format, Object... values) {
        add(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
