package quotagateway.scale.capacity;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A value in a JSON file that knows its place there: what is missing or of another kind is told with it. */
final class LocatedJson {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private final Object value;
    private final String at;

    private LocatedJson(Object value, String at) {
        this.value = value;
        this.at = at;
    }

    /** Reads a file that holds one value; throws {@link BadInput} where it is missing or no JSON. */
    static LocatedJson read(Path file) {
        List<LocatedJson> all = rows(file);
        if (all.size() != 1) {
            throw new InvalidInputException(file + ": one value expected, found " + all.size());
        }
        return new LocatedJson(all.get(0).value, file.toString());
    }

    /** Reads a file of values behind one another, one a line as runs append them. */
    static List<LocatedJson> rows(Path file) {
        try (JsonParser in = FACTORY.createParser(Files.readAllBytes(file))) {
            List<LocatedJson> all = new ArrayList<>();
            while (in.nextToken() != null) {
                all.add(new LocatedJson(value(in), file + "[" + all.size() + "]"));
            }
            return all;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new InvalidInputException(file + ": line " + line + ": not JSON as it should be: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read");
        }
    }

    private static Object value(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> all = new LinkedHashMap<>();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    all.put(name, value(in));
                }
                yield all;
            }
            case START_ARRAY -> {
                List<Object> all = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    all.add(value(in));
                }
                yield all;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
            case VALUE_STRING -> in.getText();
            default -> null; // no truth values are used here
        };
    }

    String at() {
        return at;
    }

    LocatedJson get(String name) {
        Object found = value instanceof Map<?, ?> all ? all.get(name) : null;
        return new LocatedJson(found, at + ": " + name);
    }

    boolean has(String name) {
        return get(name).value != null;
    }

    List<LocatedJson> list() {
        if (!(value instanceof List<?> all)) {
            throw new InvalidInputException(at + ": a list expected");
        }
        List<LocatedJson> docs = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            docs.add(new LocatedJson(all.get(i), at + "[" + i + "]"));
        }
        return docs;
    }

    boolean isList() {
        return value instanceof List;
    }

    double number() {
        if (!(value instanceof Double number) || !Double.isFinite(number)) {
            throw new InvalidInputException(at + ": a number expected");
        }
        return number;
    }

    String text() {
        if (!(value instanceof String text) || text.isBlank()) {
            throw new InvalidInputException(at + ": a text expected");
        }
        return text;
    }

    String text(String other) {
        return value == null ? other : text();
    }
}
