package quotagateway.startup;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Logs how long the phases of a start took, in one line of every start: while a gateway starts it is down, and the
 * others carry its load. Each phase has wall time and CPU time (ms) since the process began, as the system counts them
 * in hundredths of a second; with a part of a core the two differ by what the process was held back.
 */
public final class StartupTimeline {
    /** Fields of {@code /proc/self/stat}, counted from behind the process name in parentheses. */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;
    private static final int START_TIME_FIELD = 19;
    /** Length of the system's clock tick (ms). */
    private static final int TICK_MS = 10;

    private static final long FIRST_USED_NANOS = System.nanoTime();
    private static final StringBuilder LINE = new StringBuilder("start, wall/CPU ms:");

    private StartupTimeline() {}

    /** How long (ms) the program has run since its first use of this class. */
    public static double elapsedMs() {
        return (System.nanoTime() - FIRST_USED_NANOS) / 1e6;
    }

    /** Notes the end of a phase. */
    public static synchronized void phaseEnded(String phase) {
        LINE.append(' ').append(phase).append(' ').append(times()).append(',');
    }

    /** Notes the end of the last phase and logs the line. */
    public static synchronized void log(String phase) {
        System.err.println(LINE.append(' ').append(phase).append(' ').append(times()));
        LINE.setLength(0);
    }

    private static String times() {
        try {
            String stat = Files.readString(Path.of("/proc/self/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
            String uptime = Files.readString(Path.of("/proc/uptime"));
            double uptimeMs = 1000 * Double.parseDouble(uptime.substring(0, uptime.indexOf(' ')));
            long cpuMs =
                    TICK_MS * (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]));
            return Math.round(uptimeMs - TICK_MS * Long.parseLong(fields[START_TIME_FIELD])) + "/" + cpuMs;
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            return "unknown"; // another system's /proc
        }
    }
}
