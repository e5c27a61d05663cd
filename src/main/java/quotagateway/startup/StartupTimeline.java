package quotagateway.startup;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Logs the duration of the phases of a start, in one line, as a gateway is unavailable while it starts and other
 * gateways carry its load. Each phase has the wall time and the CPU time (ms) since the process began, which the system
 * counts in hundredths of a second; on a fraction of a core, the difference of the two is the time for which the
 * process was held back.
 */
public final class StartupTimeline {
    /** Fields of {@code /proc/self/stat}, counted from the end of the process name in parentheses. */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;
    private static final int START_TIME_FIELD = 19;
    /** Length (ms) of the system's clock tick. */
    private static final int TICK_MS = 10;

    private static final long FIRST_USED_NANOS = System.nanoTime();
    private static final StringBuilder LINE = new StringBuilder("start, wall/CPU ms:");

    private StartupTimeline() {}

    /** Returns the time (ms) since the program first used this class. */
    public static double elapsedMs() {
        return (System.nanoTime() - FIRST_USED_NANOS) / 1e6;
    }

    /** Records the end of a phase. */
    public static synchronized void phaseEnded(String phase) {
        LINE.append(' ').append(phase).append(' ').append(wallAndCpuTime()).append(',');
    }

    /** Records the end of the last phase and logs the line. */
    public static synchronized void finish(String phase) {
        System.err.println(LINE.append(' ').append(phase).append(' ').append(wallAndCpuTime()));
        LINE.setLength(0);
    }

    private static String wallAndCpuTime() {
        try {
            String stat = Files.readString(Path.of("/proc/self/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
            String uptime = Files.readString(Path.of("/proc/uptime"));
            double uptimeMs = 1000 * Double.parseDouble(uptime.substring(0, uptime.indexOf(' ')));
            long cpuMs =
                    TICK_MS * (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]));
            return Math.round(uptimeMs - TICK_MS * Long.parseLong(fields[START_TIME_FIELD])) + "/" + cpuMs;
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            return "unknown"; // not a Linux /proc
        }
    }
}
