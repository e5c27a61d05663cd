package quotagateway.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Turns nested settings into text values by path, the form that {@link SettingsReader} reads: {@code a.b} for a member,
 * {@code a.0.b} for an element of a list of objects, whose length stands under {@code a.count}, and values joined by
 * commas for a list of plain values. Null members are left out.
 */
final class SettingsFlattener {
    private final Map<String, String> values = new HashMap<>();

    private SettingsFlattener() {}

    static Map<String, String> flatten(Json settings) {
        SettingsFlattener flattener = new SettingsFlattener();
        flattener.add("", settings);
        return flattener.values;
    }

    private void add(String path, Json node) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.members().forEach((name, value) -> add(prefix + name, value));
        } else if (hasNestedElements(node)) {
            addElements(prefix, node.elements());
        } else if (node.isArray()) {
            values.put(path, joined(node.elements()));
        } else if (!node.isNull()) {
            values.put(path, node.text(""));
        }
    }

    private void addElements(String prefix, List<Json> elements) {
        values.put(prefix + "count", Integer.toString(elements.size()));
        for (int i = 0; i < elements.size(); i++) {
            add(prefix + i, elements.get(i));
        }
    }

    private static boolean hasNestedElements(Json node) {
        return node.elements().stream().anyMatch(element -> element.isObject() || element.isArray());
    }

    private static String joined(List<Json> elements) {
        StringJoiner joiner = new StringJoiner(",");
        elements.forEach(element -> joiner.add(element.text("")));
        return joiner.toString();
    }
}
