package quotagateway.policy.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Values of a key in the order in which they came; a key with none is forgotten. */
final class FifoMultimap<K, V> {
    private final Map<K, ArrayDeque<V>> queues = new HashMap<>();

    void add(K key, V value) {
        queues.computeIfAbsent(key, k -> new ArrayDeque<>()).add(value);
    }

    /** Takes the oldest value of this key, or null. */
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
