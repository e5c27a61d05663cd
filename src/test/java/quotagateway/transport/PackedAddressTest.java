package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PackedAddressTest {
    @ParameterizedTest
    @ValueSource(strings = {"1.2.3.4:5", "255.255.255.255:65535", "0.0.0.0:0"})
    void packedAddressIsUnpackedToTheSame(String text) {
        assertEquals(PackedAddress.parse(text), PackedAddress.unpack(PackedAddress.pack(text)));
    }

    @Test
    void addressStandsBeforeThePort() {
        assertEquals(0x01020304_0005L, PackedAddress.pack("1.2.3.4:5"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:port", "1.2.3.4:65536", "1.2.3.4:-1"})
    void textWithoutAddressAndPortIsRefusedWithTheText(String text) {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> PackedAddress.parse(text));
        assertEquals("address:port expected, found '" + text + "'", e.getMessage());
    }

    /**
     * A name in an endpoint list was looked up in DNS, on the event loop: with a resolver that does not answer, all
     * clients of the gateway waited for seconds. Addresses are numbers by the protocol.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {"localhost:5", "place-1.example:6379", "1.2.3:5", "1.2.3.4.5:5", "1.2.3.256:5", "1.2.3.-4:5"})
    void nameIsNotLookedUpButRefused(String text) {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> PackedAddress.pack(text));
        assertEquals("an IPv4 address expected, found '" + text + "'", e.getMessage());
    }

    @Test
    void ipv6AddressIsNotPacked() {
        assertThrows(IllegalArgumentException.class, () -> PackedAddress.pack("[::1]:5"));
    }
}
