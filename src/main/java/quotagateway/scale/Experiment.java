package quotagateway.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What all experiments have: a seed, an end in time, progress, and where the figures go. */
abstract class Experiment implements Callable<Integer> {
    /** Thrown where --max-seconds is over: what is measured until then is kept. */
    static final class TimeLimitException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** The clock is asked for the end of the run every so many events. */
    private static final int EVENTS_PER_TIME_CHECK = 256;

    private static final long PROGRESS_INTERVAL_NANOS = 5_000_000_000L;

    @Option(names = "--seed", defaultValue = "1", description = "of all chance (default ${DEFAULT-VALUE})")
    long seed;

    @Option(names = "--out", paramLabel = "FILE", description = "writes the rows as .csv or .json, one a line")
    Path out;

    @Option(names = "--append", description = "keeps the rows that FILE has")
    boolean append;

    @Option(
            names = "--max-seconds",
            defaultValue = "600",
            description = "ends after this, with the points so far and exit code 1 (default ${DEFAULT-VALUE})")
    int maxSeconds;

    @Option(names = "--commit", description = "of the build, for the rows (default: asked of git)")
    String commit;

    @Spec
    CommandSpec spec;

    Results results;
    private long endNanos;
    private long shownAtNanos;
    private int events;

    /** Measures, and adds each point to the results. */
    abstract void measure() throws Exception;

    @Override
    public Integer call() throws Exception {
        require(maxSeconds > 0, "--max-seconds has to be above 0");
        require(out == null || out.toString().matches(".*\\.(csv|json)"), "--out has to end in .csv or .json");
        require(out == null || Files.isDirectory(out.toAbsolutePath().getParent()), "no folder for --out " + out);
        results = new Results(commandLine(), commit == null ? commitOfFolder() : commit);
        endNanos = System.nanoTime() + maxSeconds * 1_000_000_000L;
        shownAtNanos = System.nanoTime();
        boolean whole = true;
        try {
            measure();
        } catch (TimeLimitException e) {
            whole = false;
            System.err.println("stopped: --max-seconds " + maxSeconds + " are over, not all points are measured");
        }
        results.printFits();
        if (out != null) {
            results.write(out, append);
        }
        return whole ? 0 : 1;
    }

    /** As a part of another experiment. */
    void measureWithin(Experiment whole) throws Exception {
        seed = whole.seed;
        results = whole.results;
        endNanos = whole.endNanos;
        measure();
    }

    static void require(boolean holds, String what) {
        if (!holds) {
            throw new RunNotPossibleException(what);
        }
    }

    static void requireAtLeast(List<Integer> values, int least, String option) {
        require(values.stream().allMatch(v -> v >= least), option + " has to be " + least + " or more");
    }

    /** Ends the run where its time is over. */
    void checkTimeLimit() {
        if (++events % EVENTS_PER_TIME_CHECK == 0 && System.nanoTime() > endNanos) {
            throw new TimeLimitException();
        }
    }

    void checkTimeLimitNow() {
        if (System.nanoTime() > endNanos) {
            throw new TimeLimitException();
        }
    }

    /** Shown every 5 s at most. */
    void showProgress(String what) {
        long now = System.nanoTime();
        if (now - shownAtNanos > PROGRESS_INTERVAL_NANOS) {
            shownAtNanos = now;
            System.err.println(
                    spec == null
                            ? what
                            : spec.name() + ": " + what + ", " + Math.max(0, (endNanos - now) / 1_000_000_000L)
                                    + " s left");
        }
    }

    /** With the JVM's options that change figures, without where the rows go. */
    private String commandLine() {
        List<String> args = spec.commandLine().getParseResult().originalArgs();
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < args.size(); i++) {
            if (List.of("--out", "--commit").contains(args.get(i))) {
                i++;
            } else if (!args.get(i).matches("--append|--(out|commit)=.*")) {
                line.append(line.length() == 0 ? "" : " ").append(args.get(i));
            }
        }
        ManagementFactory.getRuntimeMXBean().getInputArguments().stream()
                .filter(a -> a.startsWith("-X"))
                .forEach(a -> line.append(' ').append(a));
        return line.toString();
    }

    private static String commitOfFolder() {
        try {
            Process git = new ProcessBuilder("git", "describe", "--always", "--dirty", "--exclude", "*")
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            String output = new String(git.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).strip();
            return git.waitFor() == 0 ? output : "unknown";
        } catch (IOException e) {
            return "unknown";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "unknown";
        }
    }
}
