package quotagateway.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import quotagateway.config.CachedEndpointList;
import quotagateway.config.Json;

/**
 * Reads endpoint lists as their text comes: JSON objects one behind another, indented or not, in pieces cut anywhere.
 * No text is held but that of the entry that is being read. This class walks through the tokens; an entry is decoded
 * by {@link EndpointEntry}, a list is put together by {@link EndpointListAssembler}.
 */
final class EndpointListParser implements CachedEndpointList.Reader {
    /**
     * No entry is as long as this (bytes), whatever it holds: it is all that is held of a list's text. An entry of the
     * protocol page takes some 130.
     */
    static final int MAX_ENTRY_BYTES = 64 << 10;

    private static final int MAX_NESTING = 32;

    /** Nesting inside the object of a list, inside its array of hosts, and inside an entry of that array. */
    private static final int LIST_DEPTH = 1;

    private static final int HOSTS_DEPTH = 2;
    private static final int ENTRY_DEPTH = 3;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING)
                    .maxStringLength(MAX_ENTRY_BYTES)
                    .maxNameLength(MAX_ENTRY_BYTES)
                    .build())
            .build();

    private final EndpointListAssembler list;
    private final EndpointEntry entry = new EndpointEntry();
    /** The parser of text that comes in pieces; null before the first. */
    private JsonParser streamParser;

    private byte[] buffer = new byte[0];
    private int depth;
    private boolean insideHosts;
    /** The name of the member of a list or entry that comes next. */
    private String memberName = "";
    /** Bytes since the entry or member that is being read began, to the end of the piece that came last. */
    private long heldBytes;

    /**
     * Makes a parser for the lists of one connection or one file.
     *
     * @param maxEntries entries of a list beyond this many are left out
     */
    EndpointListParser(EndpointListHandler handler, int maxEntries) {
        list = new EndpointListAssembler(handler, maxEntries);
    }

    /** Whether the list that was read last has more entries than are held. */
    boolean hasTooManyEntries() {
        return list.hasTooManyEntries();
    }

    /** Objects that have ended, lists or not. */
    long objectCount() {
        return list.objectCount();
    }

    /** The lists among the objects that have ended. */
    long listCount() {
        return list.listCount();
    }

    /** Whether a list has begun and not ended. */
    boolean isInsideList() {
        return depth > 0;
    }

    /** Returns the buffers of the JSON parser; nothing is read behind it. */
    void close() throws IOException {
        if (streamParser != null) {
            streamParser.close();
        }
    }

    /**
     * Reads the next piece of text.
     *
     * @throws IOException where the text is not JSON, or an entry is too long
     */
    void read(ByteBuf text) throws IOException {
        if (streamParser == null) {
            streamParser = FACTORY.createNonBlockingByteArrayParser();
        }
        int length = text.readableBytes();
        buffer = buffer.length < length ? new byte[length] : buffer;
        text.readBytes(buffer, 0, length);
        heldBytes += length;
        ((ByteArrayFeeder) streamParser.getNonBlockingInputFeeder()).feedInput(buffer, 0, length);
        for (JsonToken token = streamParser.nextToken();
                token != JsonToken.NOT_AVAILABLE;
                token = streamParser.nextToken()) {
            onToken(token, streamParser);
        }
        if (heldBytes > MAX_ENTRY_BYTES + length) {
            throw new JsonParseException(streamParser, "an entry is longer than " + MAX_ENTRY_BYTES + " bytes");
        }
        if (depth == 0) {
            heldBytes = 0; // between lists come empty lines for as long as a watch lasts
        }
    }

    /** Reads a list that is in memory. */
    @Override
    public void read(Json saved) {
        startList();
        Json hosts = saved.get("hosts");
        if (hosts.isArray()) {
            list.foundHosts();
        }
        for (Json each : hosts.elements()) {
            entry.clear();
            each.members().forEach((name, value) -> entry.set(name, value.text(null)));
            list.add(entry);
        }
        list.setComplete(saved.get("whole").isTrue());
        list.setVersion(saved.get("seq").number(Double.NaN));
        list.end();
    }

    /** Reads the list at whose start the parser is, to its end. */
    @Override
    public void read(JsonParser parser) throws IOException {
        onToken(parser.currentToken(), parser);
        while (depth > 0) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new IOException("a list without an end");
            }
            onToken(token, parser);
        }
    }

    private void onToken(JsonToken token, JsonParser parser) throws IOException {
        if (token.isStructStart()) {
            onStructStart(token);
        } else if (token.isStructEnd()) {
            onStructEnd();
        } else if (token == JsonToken.FIELD_NAME) {
            if (depth == LIST_DEPTH || isInsideEntry()) {
                memberName = parser.currentName();
            }
        } else if (isInsideEntry()) {
            entry.set(memberName, token == JsonToken.VALUE_NULL ? null : parser.getText());
        } else if (insideHosts && depth == HOSTS_DEPTH) {
            entry.clear();
            list.add(entry); // not an object: reported as an entry that cannot be read, the others are of use
        } else if (depth == LIST_DEPTH) {
            heldBytes = 0;
            onListMember(token, parser);
        }
    }

    private boolean isInsideEntry() {
        return insideHosts && depth == ENTRY_DEPTH;
    }

    private void onStructStart(JsonToken token) {
        if (depth == 0) {
            startList();
        } else if (depth == LIST_DEPTH && token == JsonToken.START_ARRAY && memberName.equals("hosts")) {
            list.foundHosts();
            insideHosts = true;
            heldBytes = 0;
        } else if (depth == HOSTS_DEPTH && insideHosts) {
            entry.clear();
            memberName = "";
            heldBytes = 0;
        }
        depth++;
    }

    private void onStructEnd() {
        depth--;
        if (depth < ENTRY_DEPTH) {
            heldBytes = 0;
        }
        if (depth == 0) {
            list.end();
        } else if (depth == LIST_DEPTH) {
            insideHosts = false;
        } else if (depth == HOSTS_DEPTH && insideHosts) {
            list.add(entry);
        }
    }

    private void startList() {
        list.start();
        memberName = "";
        insideHosts = false;
    }

    private void onListMember(JsonToken token, JsonParser parser) throws IOException {
        if (memberName.equals("whole")) {
            list.setComplete(token == JsonToken.VALUE_TRUE);
        } else if (memberName.equals("seq") && token != JsonToken.VALUE_NULL) {
            list.setVersion(NumberText.parse(parser.getText(), Double.NaN));
        }
    }
}
