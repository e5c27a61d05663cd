package quotagateway.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Map;
import java.util.TreeMap;

/** Settings by path as the nested object that a configuration holds. */
public final class NestedJson {
    private NestedJson() {}

    /** Members that are named 0, 1 and so on beside a count are a list. */
    public static String of(Map<String, String> keys) throws IOException {
        Map<String, Object> root = new TreeMap<>();
        for (Map.Entry<String, String> e : keys.entrySet()) {
            String[] path = e.getKey().split("\\.", 0);
            Map<String, Object> at = root;
            for (int i = 0; i < path.length - 1; i++) {
                at = child(at, path[i]);
            }
            at.put(path[path.length - 1], e.getValue());
        }
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            write(json, root);
        }
        return text.toString();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> child(Map<String, Object> of, String name) {
        return (Map<String, Object>) of.computeIfAbsent(name, n -> new TreeMap<String, Object>());
    }

    private static void write(JsonGenerator json, Object value) throws IOException {
        if (!(value instanceof Map<?, ?> members)) {
            String text = (String) value;
            if (text.matches("-?[0-9.]+|true|false")) {
                json.writeRawValue(text);
            } else {
                json.writeString(text);
            }
        } else if (members.containsKey("count")) {
            json.writeStartArray();
            for (int i = 0; i < Integer.parseInt((String) members.get("count")); i++) {
                write(json, members.get("" + i));
            }
            json.writeEndArray();
        } else {
            json.writeStartObject();
            for (Map.Entry<?, ?> member : members.entrySet()) {
                json.writeFieldName((String) member.getKey());
                write(json, member.getValue());
            }
            json.writeEndObject();
        }
    }
}
