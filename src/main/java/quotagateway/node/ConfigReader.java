package quotagateway.node;

import java.io.IOException;
import quotagateway.config.GatewayConfig;

/** Reads the configuration again, as it is now. */
@FunctionalInterface
public interface ConfigReader {
    /**
     * Reads it.
     *
     * @throws IOException where it cannot be read or is malformed
     */
    GatewayConfig read() throws IOException;
}
