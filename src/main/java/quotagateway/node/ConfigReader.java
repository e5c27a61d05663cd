package quotagateway.node;

import java.io.IOException;
import quotagateway.config.GatewayConfig;

/** Reads the current configuration again. */
@FunctionalInterface
public interface ConfigReader {
    /**
     * Returns the configuration as it is now.
     *
     * @throws IOException if it cannot be read or is malformed
     */
    GatewayConfig read() throws IOException;
}
