package quotagateway.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The scale run and its libraries are no part of the node. */
class ImportRuleTest {
    private static final Pattern SCALE = Pattern.compile("quotagateway/scale|picocli|HdrHistogram");

    @Test
    void nodeClassesDoNotReferToTheScaleTool() throws IOException {
        Path classes = Path.of("target", "classes", "quotagateway");
        List<String> naming = new ArrayList<>();
        List<Path> all;
        try (Stream<Path> files = Files.walk(classes)) {
            all = files.filter(f -> f.toString().endsWith(".class")).toList();
        }
        for (Path file : all) {
            boolean scale = file.startsWith(classes.resolve("scale"));
            if (!scale
                    && SCALE.matcher(Files.readString(file, StandardCharsets.ISO_8859_1))
                            .find()) {
                naming.add(file.toString());
            }
        }
        assertTrue(all.size() > 50, "classes seen: " + all.size());
        assertEquals(List.of(), naming);
    }

    /** Provided libraries are neither in the manifest's class path nor among those copied for it. */
    @Test
    void nodeJarHasNeitherTheScaleToolNorItsLibraries() throws IOException {
        String pom = Files.readString(Path.of("pom.xml")).replaceAll("\\s+", "");
        for (String library : List.of("picocli", "HdrHistogram")) {
            assertTrue(
                    Pattern.compile("<artifactId>" + library + "</artifactId><version>[^<]*</version>"
                                    + "<scope>provided</scope>")
                            .matcher(pom)
                            .find(),
                    library);
        }
        assertTrue(pom.contains(
                "<id>default-jar</id><configuration><excludes>" + "<exclude>quotagateway/scale/**</exclude>"));
        assertTrue(pom.contains("<includeScope>runtime</includeScope>"));
        assertEquals(2, pom.split("<addClasspath>", -1).length - 1);
    }
}
