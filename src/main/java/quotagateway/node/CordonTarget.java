package quotagateway.node;

import java.util.Set;

/** What cordons apply to. Called on the event loop. */
interface CordonTarget {
    /** Cordons an endpoint or removes its cordon; returns false, without effect, if no list has ever named it. */
    boolean setCordoned(String endpoint, boolean cordoned);

    /** Cordons these endpoints and no others. */
    void replaceCordons(Set<String> endpoints);
}
