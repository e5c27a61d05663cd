package quotagateway.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Converts socket addresses between text, objects and one number. Addresses are numeric, as the peers and the
 * configuration name them; the JDK would look a name up in DNS, on the thread that calls.
 */
public final class PackedAddress {
    private static final int PORT_MASK = 0xffff;
    private static final int MAX_BYTE = 255;
    private static final int MAX_BYTE_DIGITS = 3;

    private PackedAddress() {}

    /**
     * Parses {@code address:port}.
     *
     * @throws IllegalArgumentException where the text has another form
     */
    public static InetSocketAddress parse(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new IllegalArgumentException("address:port expected, found '" + hostAndPort + "'", e);
        }
    }

    /**
     * Packs an IPv4 address and port into one number, the address before the port: 200,000 endpoints are kept so. A
     * host name is not looked up, as lists are read on the event loop.
     *
     * @throws IllegalArgumentException where the text is no IPv4 address with a port
     */
    public static long pack(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        String[] parts = hostAndPort.substring(0, Math.max(0, colon)).split("\\.", -1);
        if (parts.length != Integer.BYTES || !Arrays.stream(parts).allMatch(PackedAddress::isByte)) {
            throw new IllegalArgumentException("an IPv4 address expected, found '" + hostAndPort + "'");
        }
        long ip = 0;
        for (String part : parts) {
            ip = ip << Byte.SIZE | Integer.parseInt(part);
        }
        return ip << Short.SIZE | parse(hostAndPort).getPort();
    }

    private static boolean isByte(String text) {
        boolean isNumber = !text.isEmpty()
                && text.length() <= MAX_BYTE_DIGITS
                && text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        return isNumber && Integer.parseInt(text) <= MAX_BYTE;
    }

    /** The address that {@link #pack} has packed. */
    public static InetSocketAddress unpack(long packed) {
        byte[] ip = ByteBuffer.allocate(Integer.BYTES)
                .putInt((int) (packed >>> Short.SIZE))
                .array();
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), (int) (packed & PORT_MASK));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are always an address", e);
        }
    }
}
