package quotagateway.policy.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Maps each key to a FIFO queue of values; a key without values is removed. */
final class FifoMultimap<K, V> {
    private final Map<K, ArrayDeque<V>> queues = new HashMap<>();

    void add(K key, V value) {
        queues.computeIfAbsent(key, k -> new ArrayDeque<>()).add(value);
    }

    /** Removes and returns the oldest value of this key, or returns null if there is none. */
    V poll(K key) {
        ArrayDeque<V> queue = queues.get(key);
        if (queue == null) {
            return null;
        }
        V value = queue.poll();
        if (queue.isEmpty()) {
            queues.remove(key);
        }
        return value;
    }
}
