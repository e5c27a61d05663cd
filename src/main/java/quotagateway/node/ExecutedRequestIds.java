package quotagateway.node;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The clients' ids of ended requests that must not be executed twice and may have been executed, the latest ones. A
 * client that leaves without a response may send its request again, and endpoints don't recognize it.
 */
final class ExecutedRequestIds {
    /** Ids that are kept, of some hundred bytes each. */
    private static final int MAX_IDS = 4096;

    private final Set<String> ids = new LinkedHashSet<>();

    void add(String id) {
        ids.remove(id);
        ids.add(id);
        if (ids.size() > MAX_IDS) {
            ids.remove(ids.iterator().next());
        }
    }

    boolean contains(String id) {
        return ids.contains(id);
    }
}
