package quotagateway.transport;

import java.net.InetSocketAddress;

/**
 * The address of a service that the node calls, with the number of the configuration change that brought it. A
 * connection keeps the one that it was opened for: an event of a connection whose configuration was replaced is told
 * by the generation, also where a later configuration names the same address again.
 *
 * @param address where the service listens; null where the node is configured without it
 * @param generation 0 for the configuration of the start, one more for each change behind it
 */
public record ConfiguredAddress(InetSocketAddress address, int generation) {
    /** The address that the node was started with. */
    public static ConfiguredAddress initial(InetSocketAddress address) {
        return new ConfiguredAddress(address, 0);
    }

    /** What takes the place of this one when the configuration changes. */
    public ConfiguredAddress replacedBy(InetSocketAddress next) {
        return new ConfiguredAddress(next, generation + 1);
    }

    /** Whether both come from the same configuration. */
    public boolean isSameGeneration(ConfiguredAddress other) {
        return generation == other.generation;
    }

    /** Whether this one comes from a later configuration. */
    public boolean isNewerThan(ConfiguredAddress other) {
        return generation > other.generation;
    }
}
