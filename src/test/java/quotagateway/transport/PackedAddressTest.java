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

    @Test
    void ipv6AddressIsNotPacked() {
        assertThrows(IllegalArgumentException.class, () -> PackedAddress.pack("[::1]:5"));
    }
}
