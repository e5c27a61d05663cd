package review2;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start in ms of the monotonic clock. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintStream out;

    Record(Path file) throws IOException {
        out = new PrintStream(file.toFile());
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void add(String text) {
        out.println(String.format(Locale.ROOT, "%9.1f %s", now(), text));
        out.flush();
    }
}
