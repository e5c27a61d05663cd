package quotagateway.node;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The cordons that apply to this process: the content of the shared file, with the operators' calls to this process
 * that the file does not have yet. Whatever was read from the file, by a poll or by a write of this process's own,
 * passes through {@link #merge}, which compares it with what applies and not with what was read before.
 *
 * <p>File content has to be merged in the order in which it was read. Used only on the event loop.
 */
final class CordonSet {
    /** An operator's call; no two calls are equal, even if they ask for the same. */
    static final class Change {
        private final String endpoint;
        private final boolean cordoned;

        private Change(String endpoint, boolean cordoned) {
            this.endpoint = endpoint;
            this.cordoned = cordoned;
        }

        String endpoint() {
            return endpoint;
        }

        boolean isCordoned() {
            return cordoned;
        }
    }

    private Set<String> applied = new TreeSet<>();
    /** The last call for each endpoint whose change the file does not have yet. */
    private final Map<String, Change> unsaved = new LinkedHashMap<>();

    /** Takes over an operator's call, which applies immediately. */
    Change add(String endpoint, boolean cordoned) {
        Change change = new Change(endpoint, cordoned);
        unsaved.put(endpoint, change);
        apply(change, applied);
        return change;
    }

    /** The file has this change, and any later content has it too unless a later call has undone it. */
    void onSaved(Change change) {
        unsaved.remove(change.endpoint, change);
    }

    /** Returns the calls whose changes the file does not have yet, the oldest first. */
    List<Change> unsaved() {
        return List.copyOf(unsaved.values());
    }

    /** Returns the cordoned endpoints. */
    Set<String> applied() {
        return Collections.unmodifiableSet(new TreeSet<>(applied));
    }

    /** Takes over what the file contains; returns the cordons that apply now if they have changed. */
    Optional<Set<String>> merge(Set<String> fileContent) {
        Set<String> merged = new TreeSet<>(fileContent);
        unsaved.values().forEach(change -> apply(change, merged));
        if (merged.equals(applied)) {
            return Optional.empty();
        }
        applied = merged;
        return Optional.of(applied());
    }

    private static void apply(Change change, Set<String> cordons) {
        if (change.cordoned) {
            cordons.add(change.endpoint);
        } else {
            cordons.remove(change.endpoint);
        }
    }
}
