package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

class ConfiguredAddressTest {
    @Test
    void addressThatIsConfiguredAgainIsAnotherGeneration() {
        InetSocketAddress a = PackedAddress.parse("127.0.0.1:1");
        InetSocketAddress b = PackedAddress.parse("127.0.0.1:2");
        ConfiguredAddress first = ConfiguredAddress.initial(a);
        ConfiguredAddress again = first.replacedBy(b).replacedBy(a);
        assertFalse(first.isSameGeneration(again));
        assertTrue(first.isSameGeneration(ConfiguredAddress.initial(a)));
    }
}
