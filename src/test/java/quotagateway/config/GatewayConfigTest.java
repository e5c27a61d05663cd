package quotagateway.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import quotagateway.transport.PackedAddress;

/** What a configuration means, and what is said of one that cannot be understood. */
class GatewayConfigTest {
    private static final String MINIMAL = """
        {"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",
         "settings":{"rank":0,"group_size":1,
          "request_classes":[{"name":"r","effect":"read_like","aim":6,"hard_limit":2000}],
          "tariffs":[{"name":"p","per_second":8,"depth":9}]}}""";

    private static GatewayConfig config(String text) throws IOException {
        return GatewayConfig.of(Json.read(text), Map.of("TMPDIR", "/state"));
    }

    @Test
    void absentValuesHaveTheirDefaults() throws IOException {
        GatewayConfig config = config(MINIMAL);

        assertNull(config.counterAddress());
        assertNull(config.adminAddress());
        assertNull(config.cachedEndpoints());
        assertEquals(15_000, config.keepAliveMs());
        assertEquals(250, config.connectTimeoutMs());
        assertEquals(1024, config.maxSockets());
        assertEquals(192 * (1 << 20) / 800, config.maxEndpoints());
        assertEquals(1, config.settings().capabilities().maxAttempts());
        assertEquals(1, config.settings().maxUnits());
        assertEquals(Path.of("/state"), config.stateDirectory());
    }

    @Test
    void settingsAreReadFromNestedMembersAndLists() throws IOException {
        GatewayConfig config = config(MINIMAL.replace(
                "\"rank\":0",
                "\"rank\":3,\"feedback\":{\"fields\":[\"a\",\"b\"]},\"limits\":{\"keepalive\":7,\"send_cap\":4}"));

        assertEquals(3, config.settings().nodeIndex());
        assertEquals("[a, b]", config.settings().loadFields().toString());
        assertEquals(7, config.keepAliveMs());
        assertEquals(4, config.settings().capabilities().maxAttempts());
        assertEquals("r", config.settings().requestClasses().get(0).name());
        assertEquals(9, config.settings().plans().get(0).burst());
    }

    @Test
    void environmentTakesPrecedenceButForDiscoveryOnReload(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), MINIMAL);
        Map<String, String> environment = Map.of(
                "EDGE_CONFIG", file.toString(),
                "EDGE_NAME", "other",
                "EDGE_DISCOVERY", "127.0.0.9:9",
                "EDGE_CONTROL", "127.0.0.9:8");

        GatewayConfig started = GatewayConfig.fromEnvironment(environment);
        assertEquals("other", started.name());
        assertEquals(PackedAddress.parse("127.0.0.9:9"), started.discoveryAddress());
        assertEquals(PackedAddress.parse("127.0.0.9:8"), started.adminAddress());

        GatewayConfig reloaded = GatewayConfig.reload(environment);
        assertEquals("other", reloaded.name());
        assertEquals(PackedAddress.parse("127.0.0.1:2"), reloaded.discoveryAddress());
    }

    @Test
    void cachedEndpointListIsHandedOverOnDemand() throws IOException {
        GatewayConfig config = config(MINIMAL.replace("\"name\":\"n\"", "\"name\":\"n\",\"known\":{\"seq\":5}"));
        assertNotNull(config.cachedEndpoints());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"name\":\"n\" | \"x\":1 | name: neither EDGE_NAME nor 'name' is set",
                "\"listen\":\"127.0.0.1:1\" | \"listen\":\"here\" | listen: address:port expected, found 'here'",
                "\"effect\":\"read_like\" | \"effect\":\"odd\" | request_classes.0.effect: unknown effect",
                "\"effect\":\"read_like\" | \"x\":1 | request_classes.0.effect: missing setting",
                "\"per_second\":8 | \"per_second\":\"x\" | tariffs.0.per_second: number expected, found 'x'"
            })
    void invalidValueIsReportedWithItsPath(String valid, String invalid, String description) {
        InvalidSettingException failure =
                assertThrows(InvalidSettingException.class, () -> config(MINIMAL.replace(valid, invalid)));
        assertEquals(description, failure.describe());
    }

    @Test
    void missingVariableIsReported() {
        InvalidSettingException failure =
                assertThrows(InvalidSettingException.class, () -> GatewayConfig.fromEnvironment(Map.of()));
        assertEquals("EDGE_CONFIG: not set", failure.describe());
    }
}
