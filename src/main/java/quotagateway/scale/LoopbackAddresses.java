package quotagateway.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * A block of loopback addresses, one for each endpoint of a run: all of 127/8 reaches one listener of this machine,
 * which tells the endpoints apart by the address that was called.
 *
 * @param first the address of endpoint 0, as a number
 */
public record LoopbackAddresses(int first) {
    /** The block that begins at 127.{@code second}.0.0. */
    public static LoopbackAddresses startingAt(int second) {
        return new LoopbackAddresses(127 << 24 | second << 16);
    }

    /** Where an endpoint listens, as discovery writes it. */
    public String hostAndPort(int endpoint, int port) {
        int address = first + endpoint;
        return (address >>> 24) + "." + (address >> 16 & 255) + "." + (address >> 8 & 255) + "." + (address & 255) + ":"
                + port;
    }

    /** The number of the endpoint with this address; below 0 for an address before the block. */
    public int numberOf(InetSocketAddress called) {
        int address = 0;
        for (byte part : called.getAddress().getAddress()) {
            address = address << 8 | (part & 255);
        }
        return address - first;
    }

    /** The address of an endpoint. */
    public InetAddress address(int endpoint) throws UnknownHostException {
        int address = first + endpoint;
        return InetAddress.getByAddress(
                new byte[] {(byte) (address >> 24), (byte) (address >> 16), (byte) (address >> 8), (byte) address});
    }
}
