package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the {@code policy} key of the deploy file names exactly the files of the decision module. */
class PolicyFilesTest {
    private static final Path SOURCES = Path.of("src/main/java/quotagateway/policy");

    private static List<String> listedFiles() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        return Arrays.asList(line.replaceAll("policy = |[\\[\\]\" ]", "").split(",", 0));
    }

    @Test
    void deployFileListsExactlyTheFilesOfThePolicy() throws IOException {
        List<String> files;
        try (Stream<Path> tree = Files.walk(SOURCES)) {
            files = tree.filter(file -> file.toString().endsWith(".java"))
                    .map(file -> file.toString().replace('\\', '/'))
                    .sorted()
                    .toList();
        }
        assertEquals(files, listedFiles());
    }

    @Test
    void listedFilesHoldTheDecisionModule() throws IOException {
        List<String> lines = new ArrayList<>();
        for (String file : listedFiles()) {
            lines.addAll(Files.readAllLines(Path.of(file)));
        }
        long nonBlankLines = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(nonBlankLines > 1000, "lines that are not blank: " + nonBlankLines);
        assertTrue(lines.contains("public final class Policy implements PolicyEvents {"));
    }
}
