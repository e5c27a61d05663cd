package quotagateway.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value in memory, built on Jackson's streaming parser. Jackson's data binding is left out, as its classes cost
 * a tenth of a start. A value is a map, a list, text (numbers and booleans as well) or null; a value that is absent,
 * null or of another kind reads as the caller's fallback.
 */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();
    /** A document nested deeper is refused, before the recursion can exhaust the stack. */
    private static final int MAX_DEPTH = 32;

    private static final Json NULL = new Json(null);

    private final Object value;

    private Json(Object value) {
        this.value = value;
    }

    /** What reads on from a parser's place in a text. */
    interface ParserReader {
        void read(JsonParser parser) throws IOException;
    }

    /** Parses a document; throws {@link IOException} where it is no JSON or nested too deep. */
    public static Json read(String text) throws IOException {
        return document(FACTORY.createParser(text));
    }

    static Json read(byte[] text) throws IOException {
        return document(FACTORY.createParser(text));
    }

    /**
     * Parses a file with an object, without the value of one member that may be too large to hold: it is left empty.
     */
    public static Json without(String member, Path file) throws IOException {
        Map<String, Json> members = new LinkedHashMap<>();
        forEachMember(file, parser -> {
            String name = parser.currentName();
            boolean skipped = parser.nextToken() == JsonToken.START_OBJECT && name.equals(member);
            members.put(name, skipped ? new Json(Map.of()) : value(parser, 1));
            if (skipped) {
                parser.skipChildren();
            }
        });
        return new Json(members);
    }

    /** Hands the value of one member of a file's object to a reader, as its text is parsed. */
    static void member(String member, Path file, ParserReader reader) throws IOException {
        forEachMember(file, parser -> {
            boolean wanted = parser.currentName().equals(member);
            parser.nextToken();
            if (wanted) {
                reader.read(parser);
            } else {
                parser.skipChildren();
            }
        });
    }

    private static void forEachMember(Path file, ParserReader memberReader) throws IOException {
        try (InputStream text = Files.newInputStream(file);
                JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    memberReader.read(parser);
                }
            }
        }
    }

    private static Json document(JsonParser parser) throws IOException {
        try (parser) {
            return parser.nextToken() == null ? NULL : value(parser, 0);
        }
    }

    private static Json value(JsonParser parser, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IOException("JSON is nested too deep");
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, depth);
            case START_ARRAY -> array(parser, depth);
            case VALUE_NULL -> NULL;
            default -> new Json(parser.getText());
        };
    }

    private static Json object(JsonParser parser, int depth) throws IOException {
        Map<String, Json> members = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            members.put(name, value(parser, depth + 1));
        }
        return new Json(members);
    }

    private static Json array(JsonParser parser, int depth) throws IOException {
        List<Json> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(value(parser, depth + 1));
        }
        return new Json(elements);
    }

    /** The members of an object in their order; empty for any other value. */
    @SuppressWarnings("unchecked") // a map in here is only ever made with these types
    public Map<String, Json> members() {
        return value instanceof Map ? (Map<String, Json>) value : Map.of();
    }

    /** The elements of an array; empty for any other value. */
    @SuppressWarnings("unchecked") // a list in here is only ever made with this type
    public List<Json> elements() {
        return value instanceof List ? (List<Json>) value : List.of();
    }

    /** A member of an object; the null value where there is none. */
    public Json get(String name) {
        return members().getOrDefault(name, NULL);
    }

    boolean isNull() {
        return value == null;
    }

    boolean isObject() {
        return value instanceof Map;
    }

    public boolean isArray() {
        return value instanceof List;
    }

    /** The text of a string, number or boolean. */
    public String text(String fallback) {
        return value instanceof String text ? text : fallback;
    }

    public boolean isTrue() {
        return "true".equals(value);
    }

    /** The number in a number or string. */
    public double number(double fallback) {
        try {
            return value instanceof String text ? Double.parseDouble(text) : fallback;
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
