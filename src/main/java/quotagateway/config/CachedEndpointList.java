package quotagateway.config;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/**
 * The endpoint list that a configuration brings from an earlier process: read when wanted, as it may be too long to
 * hold.
 */
public interface CachedEndpointList {
    /** Reads the list into a reader; throws where the file cannot be read any more. */
    void read(Reader reader) throws IOException;

    /** What takes in a list: from text that is parsed as it is read, or from a tree in memory. */
    interface Reader {
        /** Reads the list at whose start the parser is. */
        void read(JsonParser parser) throws IOException;

        /** Reads a list that is in memory. */
        void read(Json list);
    }
}
