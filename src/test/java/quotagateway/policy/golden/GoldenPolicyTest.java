package quotagateway.policy.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that every decision of the policy is the recorded one: complete fleets run on a virtual clock with injected
 * faults, and all events and actions of each virtual second are hashed and compared with the hashes under
 * {@code src/test/resources/golden}. After a change that is meant to alter decisions, the hashes are rewritten by
 *
 * <pre>mvn -q -B -o -Dtest=GoldenPolicyTest -Dgolden.write=true test</pre>
 *
 * which reports the tests as skipped. With {@code -Dgolden.transcript=true} all lines are written to
 * {@code target/golden}, so that the runs of two commits can be compared with {@code diff}.
 *
 * <p>The policy uses {@link Math#pow} and {@link Math#log}, whose last bit may differ between platforms: the hashes are
 * valid for Java 17 on x86-64.
 */
class GoldenPolicyTest {
    private static final Path HASHES = Path.of("src", "test", "resources", "golden");
    private static final Path TRANSCRIPTS = Path.of("target", "golden");

    static List<GoldenScenario> scenarios() {
        return GoldenScenario.all();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void eventsAndActionsMatchTheRecordedHashes(GoldenScenario scenario) throws IOException {
        boolean keepText = Boolean.getBoolean("golden.transcript");
        Transcript transcript = new Transcript(keepText);
        new FakeFleet(scenario, transcript).run();
        if (keepText) {
            Files.createDirectories(TRANSCRIPTS);
            Files.writeString(TRANSCRIPTS.resolve(scenario.name() + ".txt"), transcript.text());
        }
        Path file = HASHES.resolve(scenario.name() + ".txt");
        if (Boolean.getBoolean("golden.write")) {
            Files.createDirectories(HASHES);
            Files.write(file, transcript.hashes());
            Assumptions.abort("hashes rewritten: " + file);
        }
        compare(scenario, Files.readAllLines(file), transcript.hashes());
    }

    private static void compare(GoldenScenario scenario, List<String> recorded, List<String> actual) {
        assertEquals(recorded.size(), actual.size(), "virtual seconds of " + scenario.name());
        for (int second = 0; second < recorded.size(); second++) {
            if (!recorded.get(second).equals(actual.get(second))) {
                fail(scenario.name() + ": the first difference in events or actions is in virtual second " + second);
            }
        }
    }
}
