package quotagateway.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/**
 * Converts socket addresses between text, objects and one number. Addresses are numeric, as the peers and the
 * configuration name them; the JDK would look a name up in DNS, on the thread that calls.
 */
public final class PackedAddress {
    private static final int PORT_MASK = 0xffff;

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
     * Packs an IPv4 address and port into one number, the address before the port: 200,000 endpoints are kept so.
     *
     * @throws IllegalArgumentException where the text is no IPv4 address with a port
     */
    public static long pack(String hostAndPort) {
        InetSocketAddress parsed = parse(hostAndPort);
        byte[] ip = parsed.isUnresolved() ? new byte[0] : parsed.getAddress().getAddress();
        if (ip.length != Integer.BYTES) {
            throw new IllegalArgumentException("an IPv4 address expected, found '" + hostAndPort + "'");
        }
        return Integer.toUnsignedLong(ByteBuffer.wrap(ip).getInt()) << Short.SIZE | parsed.getPort();
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
