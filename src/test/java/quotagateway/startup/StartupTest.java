package quotagateway.startup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts a gateway in a JVM of its own. The gateway is unavailable during its start, so the start has to be short. */
@Timeout(60)
class StartupTest {
    /** Classes that are expensive to load and of no use in a start: flight recording, locales, formats. */
    private static final List<String> EXPENSIVE_CLASSES =
            List.of("jdk.jfr.EventType", "sun.util.cldr.", "java.util.Formatter");

    @TempDir
    private Path folder;

    @Test
    void startLoadsNoExpensiveClassAndLogsItsPhases() throws Exception {
        Path loadedClasses = folder.resolve("loaded");
        try (ServerSocket peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Process process = start(loadedClasses, writeConfig("127.0.0.1:" + peer.getLocalPort()));
            try {
                String line = startupLine(process);
                assertTrue(
                        line != null && line.contains(" configuration ") && line.contains(" bind "),
                        "no line with the phases of the start: " + line);
            } finally {
                process.destroy();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
            }
        }
        List<String> expensive = Files.readAllLines(loadedClasses).stream()
                .filter(line -> EXPENSIVE_CLASSES.stream().anyMatch(line::contains))
                .limit(5)
                .toList();
        assertEquals(List.of(), expensive);
    }

    private Path writeConfig(String peerAddress) throws IOException {
        return Files.writeString(folder.resolve("config.json"), """
                {"listen":"127.0.0.1:0","discovery":"%1$s","counter":"%1$s","name":"n",
                 "known":{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"%1$s","site":"a","class":"m",
                  "block":1,"health":"active","share":1.0,"born_ms":0}]},
                 "settings":{"rank":0,"group_size":1,"tick":4,"family_info":{"shared_counter":true},
                  "request_classes":[{"name":"r","effect":"read_like","aim":600,"hard_limit":2000}],
                  "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""".formatted(peerAddress));
    }

    /** Starts the command of the deploy file, except for the jar, which is not built yet when tests run. */
    private static Process start(Path loadedClasses, Path config) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java"));
        for (String word : runCommand().substring("exec java ".length()).split(" ", 0)) {
            if (word.startsWith("-X") || (word.startsWith("-Dio.netty") && !word.contains("$"))) {
                command.add(word);
            }
        }
        command.addAll(List.of(
                "-Xlog:class+load:file=" + loadedClasses,
                "-cp",
                System.getProperty("java.class.path"),
                "quotagateway.Main",
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("EDGE_CONFIG", config.toString());
        return builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("the deploy file has no run command");
    }

    /** Returns the line with the phases of the start, or null if the process ends without it. */
    private static String startupLine(Process process) throws IOException {
        try (BufferedReader log =
                new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
            String line = log.readLine();
            while (line != null && !line.startsWith("start, wall/CPU ms:")) {
                line = log.readLine();
            }
            return line;
        }
    }
}
