package quotagateway.node;

import java.io.IOException;
import quotagateway.config.GatewayConfig;

/** How the configuration is read again. */
public interface ConfigReader {
    GatewayConfig read() throws IOException;
}
