package quotagateway.scale.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The capacity page against its files, and how its figures come about. */
class CapacityTablesTest {
    private static final Path MODEL = Path.of("src/test/resources/capacity/model.json");
    private static final Path RUNS = Path.of("src/test/resources/capacity/measurements.json");
    private static final Path PAGE = Path.of("docs/CAPACITY.md");

    @TempDir
    Path folder;

    private String out;
    private String err;

    private int run(Object... args) {
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        ByteArrayOutputStream e = new ByteArrayOutputStream();
        List<String> words = new ArrayList<>();
        for (Object arg : args) {
            words.add(arg.toString());
        }
        int code = CapacityTables.run(
                words.toArray(new String[0]),
                new PrintStream(o, true, StandardCharsets.UTF_8),
                new PrintStream(e, true, StandardCharsets.UTF_8));
        out = o.toString(StandardCharsets.UTF_8);
        err = e.toString(StandardCharsets.UTF_8);
        return code;
    }

    private String fixture(String table) {
        assertEquals(0, run("--model", MODEL, "--measurements", RUNS, table), () -> err);
        return out;
    }

    /** A line of the last output by its text, its cells trimmed and joined by one bar. */
    private String line(String what) {
        String found = out.lines()
                .filter(l -> l.contains("| " + what + " |"))
                .findFirst()
                .orElse("");
        return String.join("|", found.split("\\s*\\|\\s*"));
    }

    @Test
    void thePageSaysWhatItsFilesGive() {
        assertEquals(0, run("--check", PAGE), () -> err);
    }

    @Test
    void aPageThatSaysSomethingElseIsToldAndWrittenAnew() throws Exception {
        Path page = folder.resolve("page.md");
        String good = Files.readString(PAGE);
        Files.writeString(page, good.replaceFirst("\\*\\*OVER, [0-9]", "**OVER, 0"));
        assertEquals(1, run("--check", page));
        assertEquals(1, err.lines().count());
        assertEquals(0, run("--write", page), () -> err);
        assertEquals(good, Files.readString(page));
    }

    /** What the page quotes of the program is still there and the same. */
    @Test
    void theProgramsConstantsAreTheProgramsOwn() throws Exception {
        int seen = 0;
        for (LocatedJson d : LocatedJson.read(Path.of("docs/capacity/model.json"))
                .get("quantities")
                .list()) {
            if (d.has("field")) {
                String path = d.get("field").text();
                int dot = path.lastIndexOf('.');
                Field field = Class.forName(path.substring(0, dot)).getDeclaredField(path.substring(dot + 1));
                field.setAccessible(true);
                double value = ((Number) field.get(null)).doubleValue()
                        * d.get("times").number();
                assertEquals(value, d.get("is").number(), 1e-9, path);
                seen++;
            }
        }
        assertTrue(seen > 0);
    }

    @Test
    void aFigureIsSlopeTimesSizeWithItsRun() {
        fixture("node");
        assertEquals(
                "|now|beyond|50 ms|2.6 ms|**OVER, 19.2 x**|`m.cpu[listed=servers]`|run 2: "
                        + "0.5 us x listed + 20, **beyond** its largest, 2,000|choice: missing",
                line("beyond"));
        assertEquals(
                "|now|inside|270 us|2.6 ms|within, 10.4%|`m.cpu[listed=small]`|run 2: "
                        + "0.5 us x listed + 20|choice: missing",
                line("inside"));
        assertTrue(line("carried on").startsWith("|now|carried on|5 cores|1 core|**OVER, 5 x**|"));
        assertEquals("|now|a point|1 KB|-|-|`few[x@10]`|run 3: as measured at x = 10|client: present", line("a point"));
        assertEquals(
                "|now|the last|1.1 ms|-|-|`m.cpu[listed@largest]`|run 2: as measured at listed = 2,000|"
                        + "client: present",
                line("the last"));
        assertTrue(line("slope").startsWith("|now|slope|50 ms|-|-|"));
        assertEquals(
                "|now|assumed|13.8|-|-|`lines * guess - 1 / 4 + 2`|code lines; *assumption* guess|" + "client: present",
                line("assumed"));
    }

    @Test
    void whatWasNotMeasuredIsNoNumber() {
        fixture("node");
        assertEquals(
                "|now|none|not measured|500 B|not measured|`2 * none[x=small] + 1`|"
                        + "**no run yet** of none over x|client: present",
                line("none"));
        assertTrue(line("no line").startsWith("|now|no line|not measured|-|-|"), line("no line"));
        fixture("over");
        assertFalse(out.contains("| none |"));
        assertEquals(
                List.of("19.2 x", "5 x"),
                out.lines()
                        .skip(4)
                        .filter(l -> !l.isEmpty())
                        .map(l -> l.split("\\|", 0)[1].strip())
                        .toList());
        fixture("missing");
        assertEquals("|1|choice|missing|chooses|3|2|0", line("choice"));
        fixture("carriers");
        assertEquals("|1|client|present|counts|6|0|2", line("client"));
    }

    /** 10, 200 and 1,000 lie on 0.6 x + 20. */
    @Test
    void theLargestSizeIsForetoldByTheOthers() {
        fixture("cross-check");
        assertEquals("|CPU|listed = 2,000|1,220 us|1,100 us|10.9%|the smaller sizes|run 2", line("CPU"));
        assertEquals("|a point|x = 20|1.5 KB|2 KB|-25%|`small * guess`|run 3", line("a point"));
        String no = "|-|not measured|not measured|not measured|the smaller sizes|";
        assertEquals("|few" + no + "no such point in run 3", line("few"));
        assertEquals("|none" + no + "**no run yet**", line("none"));
    }

    @Test
    void runsOfOneFigureAreComparedWhereAllHaveIt() {
        fixture("compared");
        assertEquals("|m.cpu|listed = 10|run 1: 9,000 us; run 2: 26 us; run 4: 7 us|0.000778", line("m.cpu"));
        assertEquals(
                1,
                out.lines()
                        .filter(l -> l.contains("run ") && l.contains(" us;"))
                        .count());
    }

    /** Whole numbers as they are, and always with a point. */
    @Test
    void unitsSuitTheSize() {
        assertEquals("29.8 MB", Estimate.of(29_812_345).text("B"));
        assertEquals("1 KB/s", Estimate.of(999.9).text("B/s"));
        assertEquals("1,024", Estimate.of(1024).text(""));
        assertEquals("18.2 min", Estimate.of(1093.3).text("s"));
        assertEquals("<0.1%", Estimate.percent(0.0001));
        assertEquals(
                "without bound", Estimate.of(1).with(1 / 0.0, Estimate.of(0)).text("B"));
    }

    @Test
    void rowsMayStandOneALine() throws Exception {
        Path rows = folder.resolve("rows.json");
        String list = Files.readString(RUNS).strip();
        Files.writeString(rows, list.substring(1, list.length() - 1).replace("},\n {", "}\n{"));
        String before = fixture("measurements");
        assertEquals(0, run("--model", MODEL, "--measurements", rows, "measurements"), () -> err);
        assertEquals(before, out);
        assertTrue(out.contains("| m.cpu | listed | 4 | 10 | 2,000 | 0.5 | 20 | 31 | us | run 2 |"), out);
        assertTrue(fixture("runs").contains("| run 2 | `module --seed 1` at 0b |"), out);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '!',
            value = {
                "--sort ! unknown option '--sort'",
                "--model ! a file expected behind --model",
                "--model nowhere.json ! nowhere.json: cannot be read",
                "--write docs/CAPACITY.md --check docs/CAPACITY.md ! one of --write and --check, once",
                "--check docs/CAPACITY.md node ! a page holds all tables",
                "--check README.md ! README.md: table 'over' has no place",
                "turbine ! no table 'turbine'"
            })
    void aBadArgumentIsOneLine(String args, String told) {
        assertEquals(2, run((Object[]) args.split(" ")));
        assertTrue(err.startsWith("capacity: " + told), err);
        assertEquals(1, err.lines().count(), err);
        assertEquals("", out);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '!',
            quoteCharacter = '~',
            value = {
                "\"servers\", ! \"server\", ! quantities[7]: is: 'servers' is not known here",
                "* guess - 1 ! * guess 1 ! rows[8]: is: a name is missing in 'lines * guess 1 / 4 + 2'",
                "* guess - ! * guess : ! rows[8]: is: one of + - * / expected, found ':'",
                "lines * ! form.letter * ! rows[8]: is: no message form 'form.letter'",
                "\"client\"} ! \"clerk\"} ! rows[3]: mechanism: 'clerk' is none of [choice, client]",
                "\"state\": \"present\" ! \"state\": \"soon\" ! mechanisms[1]: state: 'soon' is none of",
                "\"is\": 100, ! \"is\": \"100\", ! quantities[2]: is: a number expected",
                "\"name\": \"small\" ! \"name\": \"servers\" ! quantities[1]: servers is there already",
                "\"roles\": ! \"rolls\": ! roles: a list expected",
                "\"roles\": ! \"roles\" ! line 16: not JSON as it should be"
            })
    void aBadModelIsOneLineWithItsPlace(String from, String to, String told) throws Exception {
        Path bad = folder.resolve("bad.json");
        String good = Files.readString(MODEL);
        assertTrue(good.contains(from));
        Files.writeString(bad, good.replace(from, to));
        assertEquals(2, run("--model", bad, "--measurements", RUNS));
        assertTrue(err.startsWith("capacity: " + bad) && err.contains(told), err);
        assertEquals(1, err.lines().count(), err);
        assertNotNull(out);
    }
}
