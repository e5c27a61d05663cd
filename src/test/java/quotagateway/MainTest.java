package quotagateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the command line as a process and checks its output and exit code. */
@Timeout(60)
class MainTest {
    @TempDir
    private Path folder;

    private record Result(int exitCode, String output, String error) {}

    private Result run(Map<String, String> environment, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-cp",
                System.getProperty("java.class.path"),
                "quotagateway.Main"));
        command.addAll(List.of(arguments));
        Path output = folder.resolve("output");
        Path error = folder.resolve("error");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectOutput(output.toFile()).redirectError(error.toFile());
        builder.environment().remove("EDGE_CONFIG");
        builder.environment().putAll(environment);
        Process process = builder.start();
        process.getOutputStream().close();
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process has not ended within 30 s");
        } finally {
            process.destroyForcibly();
        }
        return new Result(
                process.exitValue(),
                Files.readString(output, StandardCharsets.UTF_8),
                Files.readString(error, StandardCharsets.UTF_8));
    }

    @Test
    void helpListsEachCommandAndSucceeds() throws Exception {
        Result result = run(Map.of(), "--help");
        assertEquals(0, result.exitCode);
        for (String command : List.of("serve ", "simulate ", "record-startup ")) {
            assertTrue(result.output.contains("\n" + command), command);
        }
    }

    @Test
    void versionSucceeds() throws Exception {
        Result result = run(Map.of(), "--version");
        assertEquals(0, result.exitCode);
        assertTrue(result.output.startsWith("quota-gateway "), result.output);
    }

    @Test
    void wrongCommandLinePrintsTheUsageInOneLine() throws Exception {
        String usage = "usage: quota-gateway serve | simulate | record-startup | --help | --version\n";
        assertEquals(new Result(2, "", usage), run(Map.of()));
        assertEquals(new Result(2, "", usage), run(Map.of(), "drill"));
        assertEquals(new Result(2, "", usage), run(Map.of(), "simulate", "twice"));
    }

    @Test
    void invalidConfigurationIsReportedInOneLineWithTheSetting() throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), "{\"name\":\"n\"}");
        assertEquals(
                new Result(2, "", "configuration: listen: neither EDGE_LISTEN nor 'listen' is set\n"),
                run(Map.of("EDGE_CONFIG", config.toString()), "serve"));
        assertEquals(new Result(2, "", "configuration: EDGE_CONFIG: not set\n"), run(Map.of(), "serve"));
    }

    @Test
    void simulateExitsAtTheEndOfItsInput() throws Exception {
        assertEquals(new Result(0, "", ""), run(Map.of(), "simulate"));
    }
}
