package quotagateway.discovery;

import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;

/** Receives endpoint lists as an {@link EndpointListParser} reads them. Called on the event loop. */
interface EndpointListHandler {
    /** A list that is too long to be handed over at once begins; what ends before its end removes nothing. */
    void onListStarted();

    /**
     * A list of few entries, or a part of a longer one.
     *
     * @param complete whether endpoints that are not named here are removed
     */
    void onEndpoints(List<EndpointDescriptor> endpoints, boolean complete);

    /**
     * A list has ended.
     *
     * @param version the list's version; NaN where it names none
     * @param complete whether it is the whole list, not a change of it
     * @param removesUnnamed whether endpoints that none of its parts has named are removed
     */
    void onListEnded(double version, boolean complete, boolean removesUnnamed);

    /** An entry cannot be read and is left out; called for the first such entry of a list. */
    void onInvalidEntry(Exception cause);

    /** The list has more entries than are held: the others are left out, and the list removes nothing. */
    void onTooManyEntries(int maxEntries);
}
