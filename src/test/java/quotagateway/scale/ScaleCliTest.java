package quotagateway.scale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ScaleCliTest {
    private static final String[] SMALL = {
        "fleet", "--nodes", "2,3,4,5", "--servers-per-node", "3", "--seconds", "1", "--commit", "abc"
    };

    @TempDir
    Path folder;

    /** What is told on standard error, after the exit code. */
    private static List<String> run(String... args) {
        ByteArrayOutputStream told = new ByteArrayOutputStream();
        PrintStream err = System.err;
        PrintStream out = System.out;
        System.setErr(new PrintStream(told, true));
        System.setOut(new PrintStream(new ByteArrayOutputStream()));
        try {
            int code = ScaleCli.run(args);
            return java.util.stream.Stream.concat(
                            java.util.stream.Stream.of("" + code),
                            told.toString(UTF_8).lines())
                    .toList();
        } finally {
            System.setErr(err);
            System.setOut(out);
        }
    }

    private static void assertRefused(String word, String... args) {
        List<String> told = run(args);
        assertEquals("2", told.get(0), told.toString());
        assertEquals(2, told.size(), "one line: " + told);
        assertTrue(told.get(1).startsWith("scale: ") && told.get(1).contains(word), told.get(1));
    }

    @Test
    void invalidArgumentsPrintOneLineAndExitWith2() throws Exception {
        assertRefused("subcommand");
        assertRefused("fleets", "fleets");
        assertRefused("--rate", "module", "--rate", "many");
        assertRefused("--servers", "module", "--servers", "10,0");
        assertRefused("--notice-ms", "fleet", "--notice-ms", "9,1");
        assertRefused("--part", "ramp", "--part", "2");
        assertRefused("--regions", "regions");
        assertRefused("--nodes", "change", "--nodes", "1,99");
        assertRefused("--max-seconds", "fleet", "--max-seconds", "0");
        assertRefused(".csv", "fleet", "--out", "figures.txt");
        assertRefused(
                "folder", "fleet", "--out", folder.resolve("none/figures.csv").toString());
        assertRefused("balancer.toml", "node", "--root", folder.toString());
        try (ServerSocket taken = new ServerSocket(0)) {
            assertRefused("" + taken.getLocalPort(), "node", "--server-port", "" + taken.getLocalPort());
        }
    }

    @Test
    void nodeThatEndsAtOnceIsReportedWithItsOutput() throws Exception {
        Files.createDirectory(folder.resolve("deploy"));
        Files.writeString(folder.resolve("deploy/balancer.toml"), "run = \"echo \\\"no room\\\"; exit 3\"\n");
        assertRefused("no room", "node", "--root", folder.toString());
    }

    @Test
    void rowsAreWrittenAsCsvAndJsonAndAppendedOnRequest() throws Exception {
        Path json = folder.resolve("a.json");
        Path csv = folder.resolve("a.csv");
        for (Path file : List.of(json, csv)) {
            String[] args = java.util.Arrays.copyOf(SMALL, SMALL.length + 3);
            args[SMALL.length] = "--out";
            args[SMALL.length + 1] = file.toString();
            args[SMALL.length + 2] = "--append";
            assertEquals("0", run(args).get(0));
            assertEquals("0", run(args).get(0));
        }
        List<String> rows = Files.readAllLines(json);
        assertEquals(rows.subList(0, rows.size() / 2), rows.subList(rows.size() / 2, rows.size()), "one seed");
        assertTrue(rows.get(0).contains("\"points\":[[2,2],[3,3],[4,4],[5,5]]"), rows.get(0));
        List<String> lines = Files.readAllLines(csv);
        assertEquals(1, lines.stream().filter(l -> l.startsWith("run,")).count());
        assertEquals(1 + 4 * rows.size(), lines.size());
    }

    @Test
    void reachedTimeLimitExitsWith1() {
        List<String> told = run(
                "module",
                "--servers",
                "20",
                "--seconds",
                "100000",
                "--point-seconds",
                "1000",
                "--max-seconds",
                "1",
                "--commit",
                "abc");
        assertEquals("1", told.get(0));
        assertTrue(told.get(told.size() - 1).contains("--max-seconds"), told.toString());
    }
}
