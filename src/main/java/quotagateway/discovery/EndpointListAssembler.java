package quotagateway.discovery;

import java.util.ArrayList;
import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;

/**
 * Puts the entries of a list together and hands them over: a list of up to {@link #MAX_UNDIVIDED} entries as one, a
 * longer one in parts as they come. Used again for each list.
 */
final class EndpointListAssembler {
    /** Few enough entries to be taken in at once beside requests, and more than most sites have. */
    static final int MAX_UNDIVIDED = 1000;
    /** Entries in a part of a longer list: requests wait behind each part, and may wait 2.6 ms in all. */
    private static final int PART_SIZE = 250;

    private final EndpointListHandler handler;
    private final int maxEntries;
    private List<EndpointDescriptor> endpoints = new ArrayList<>();
    private long entryCount;
    private long objectCount;
    private long listCount;
    /** Whether the object has an array of hosts; one without is no list. */
    private boolean hasHosts;

    private boolean inParts;
    private boolean invalidEntryReported;
    private boolean complete;
    private double version;

    EndpointListAssembler(EndpointListHandler handler, int maxEntries) {
        this.handler = handler;
        this.maxEntries = maxEntries;
    }

    /** An object begins, which may be a list. */
    void start() {
        endpoints = new ArrayList<>();
        entryCount = 0;
        hasHosts = inParts = complete = invalidEntryReported = false;
        version = Double.NaN;
    }

    /** The object has an array of hosts. */
    void foundHosts() {
        hasHosts = true;
    }

    void setComplete(boolean complete) {
        this.complete = complete;
    }

    /** Takes the version of the list; NaN for none. */
    void setVersion(double version) {
        this.version = version;
    }

    /** Whether the list has more entries than are held. */
    boolean hasTooManyEntries() {
        return entryCount > maxEntries;
    }

    /** Objects that have ended, lists or not. */
    long objectCount() {
        return objectCount;
    }

    /** The lists among the objects that have ended. */
    long listCount() {
        return listCount;
    }

    /** Takes the next entry; one that cannot be read is reported and left out, as the others are of use. */
    void add(EndpointEntry entry) {
        if (++entryCount > maxEntries) {
            if (entryCount == maxEntries + 1L) {
                handler.onTooManyEntries(maxEntries);
            }
            return;
        }
        EndpointDescriptor endpoint;
        try {
            endpoint = entry.toDescriptor();
        } catch (IllegalArgumentException e) {
            if (!invalidEntryReported) {
                handler.onInvalidEntry(e);
            }
            invalidEntryReported = true;
            return;
        }
        if (endpoints.size() == (inParts ? PART_SIZE : MAX_UNDIVIDED)) {
            if (!inParts) {
                handler.onListStarted();
                inParts = true;
            }
            handOverPart();
        }
        endpoints.add(endpoint);
    }

    private void handOverPart() {
        List<EndpointDescriptor> part = endpoints;
        endpoints = new ArrayList<>();
        handler.onEndpoints(part, false);
    }

    /** The object has ended. */
    void end() {
        objectCount++;
        if (!hasHosts) {
            return;
        }
        boolean nothingLeftOut = complete && !hasTooManyEntries();
        handler.onEndpoints(endpoints, nothingLeftOut && !inParts);
        endpoints = new ArrayList<>();
        listCount++;
        handler.onListEnded(version, complete, nothingLeftOut && inParts);
    }
}
