package quotagateway.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quotagateway.config.CachedEndpointList;
import quotagateway.config.Json;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.PackedAddress;

/**
 * Reads lists of app servers as their text comes: JSON objects one behind another, indented or not, in pieces
 * cut anywhere. No text is held but that of the entry that is being read. A list of up to AT_ONCE entries is
 * handed over as one, a longer one in parts as they come.
 */
public final class EndpointListParser implements CachedEndpointList.Reader {

    /** Few enough to be taken at once beside requests, and more than most sites have. */
    static final int AT_ONCE = 1000;
    /** Of a long list so many at a time: requests wait behind each, and may wait 2.6 ms in all. */
    private static final int PART = 250;
    /**
     * No entry is as long as this (bytes), whatever it holds: it is all that is held of a list's text. An
     * entry of the protocol page takes some 130.
     */
    static final int LONGEST_ENTRY = 64 << 10;

    private static final int DEEPEST = 32;
    /** Zones and kinds are few words, each kept once; past this many, each for itself. */
    private static final int WORDS = 1024;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(DEEPEST)
                    .maxStringLength(LONGEST_ENTRY)
                    .maxNameLength(LONGEST_ENTRY)
                    .build())
            .build();

    private final EndpointListHandler taker;
    private final int most;
    private final Map<String, String> words = new HashMap<>();
    private JsonParser parser;
    private byte[] some = new byte[0];
    private int depth;
    private boolean inHosts;
    /** Bytes since the entry or member that is being read began, by the pieces that came. */
    private long held;

    private long entries;
    private long objects;
    private long lists;
    private boolean hosts;
    private boolean parts;
    private boolean complained;
    private boolean whole;
    private double seq;
    private String name = "";
    private final Entry entry = new Entry();
    private List<EndpointDescriptor> servers = new ArrayList<>();

    EndpointListParser(EndpointListHandler taker, int most) {
        this.taker = taker;
        this.most = most;
    }

    /** Whether the list has more entries than there is room for. */
    boolean tooLong() {
        return entries > most;
    }

    /** Objects that have come whole, lists or not. */
    long objects() {
        return objects;
    }

    /** Those of them that were lists. */
    long lists() {
        return lists;
    }

    void close() throws IOException {
        if (parser != null) {
            parser.close();
        }
    }

    /** Whether a list has begun and not ended. */
    boolean pending() {
        return depth > 0;
    }

    /** Takes the next bytes; throws where they are no JSON, or an entry is too long. */
    void read(ByteBuf text) throws IOException {
        if (parser == null) {
            parser = FACTORY.createNonBlockingByteArrayParser();
        }
        int length = text.readableBytes();
        some = some.length < length ? new byte[length] : some;
        text.readBytes(some, 0, length);
        held += length;
        ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(some, 0, length);
        for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
            token(t, parser);
        }
        if (held > LONGEST_ENTRY + length) {
            throw new JsonParseException(parser, "an entry is longer than " + LONGEST_ENTRY + " bytes");
        }
        held = depth == 0 ? 0 : held; // empty lines, for as long as a watch lasts
    }

    /** A list that is in memory. */
    @Override
    public void read(Json list) {
        begin();
        hosts = list.get("hosts").isArray();
        for (Json each : list.get("hosts").elements()) {
            entry.clear();
            each.members().forEach((member, value) -> entry.set(member, value.text(null)));
            entry();
        }
        whole = list.get("whole").isTrue();
        seq = list.get("seq").number(Double.NaN);
        end();
    }

    /** The list that a parser is at the start of. */
    @Override
    public void read(JsonParser in) throws IOException {
        token(in.currentToken(), in);
        while (depth > 0) {
            JsonToken t = in.nextToken();
            if (t == null) {
                throw new IOException("a list without an end");
            }
            token(t, in);
        }
    }

    private void token(JsonToken t, JsonParser in) throws IOException {
        if (t.isStructStart()) {
            opened(t);
        } else if (t.isStructEnd()) {
            closed();
        } else if (t == JsonToken.FIELD_NAME) {
            if (depth == 1 || (inHosts && depth == 3)) {
                name = in.currentName();
            }
        } else if (inHosts && depth == 3) {
            entry.set(name, t == JsonToken.VALUE_NULL ? null : in.getText());
        } else if (inHosts && depth == 2) {
            entry.clear();
            entry(); // no object: it cannot be understood, the others are of use
        } else if (depth == 1) {
            held = 0;
            member(t, in);
        }
    }

    private void opened(JsonToken t) {
        if (depth == 0) {
            begin();
        } else if (depth == 1 && t == JsonToken.START_ARRAY && name.equals("hosts")) {
            hosts = inHosts = true;
            held = 0;
        } else if (depth == 2 && inHosts) {
            entry.clear();
            name = "";
            held = 0;
        }
        depth++;
    }

    private void closed() {
        depth--;
        held = depth < 3 ? 0 : held;
        if (depth == 0) {
            end();
        } else if (depth == 1) {
            inHosts = false;
        } else if (depth == 2 && inHosts) {
            entry();
        }
    }

    private void begin() {
        servers = new ArrayList<>();
        name = "";
        entries = 0;
        hosts = inHosts = parts = whole = complained = false;
        seq = Double.NaN;
    }

    private void member(JsonToken t, JsonParser in) throws IOException {
        if (name.equals("whole")) {
            whole = t == JsonToken.VALUE_TRUE;
        } else if (name.equals("seq") && t != JsonToken.VALUE_NULL) {
            seq = number(in.getText(), Double.NaN);
        }
    }

    private void entry() {
        if (++entries > most) {
            if (entries == most + 1L) {
                taker.tooLong(most);
            }
            return;
        }
        EndpointDescriptor server;
        try {
            server = entry.server(words);
        } catch (IllegalArgumentException e) {
            if (!complained) {
                taker.spoilt(e); // the others are of use
            }
            complained = true;
            return;
        }
        if (servers.size() == (parts ? PART : AT_ONCE)) {
            if (!parts) {
                taker.begins();
                parts = true;
            }
            part();
        }
        servers.add(server);
    }

    private void part() {
        List<EndpointDescriptor> part = servers;
        servers = new ArrayList<>();
        taker.take(part, false);
    }

    private void end() {
        objects++;
        if (!hosts) {
            return; // no list
        }
        taker.take(servers, whole && !parts && !tooLong());
        servers = new ArrayList<>();
        lists++;
        taker.ends(seq, whole, whole && parts && !tooLong());
    }

    private static double number(String text, double other) {
        try {
            return text == null ? other : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return other;
        }
    }

    /** One entry, as its members come; those of other names are passed over. */
    private static final class Entry {
        private String host;
        private String dial;
        private String site;
        private String kind;
        private String block;
        private String health;
        private String share;
        private String born;

        void clear() {
            host = dial = site = kind = block = health = share = born = null;
        }

        void set(String name, String value) {
            switch (name) {
                case "host" -> host = value;
                case "dial" -> dial = value;
                case "site" -> site = value;
                case "class" -> kind = value;
                case "block" -> block = value;
                case "health" -> health = value;
                case "share" -> share = value;
                case "born_ms" -> born = value;
                default -> {}
            }
        }

        EndpointDescriptor server(Map<String, String> words) {
            EndpointState state = switch (text(health)) {
                case "active" -> EndpointState.UP;
                case "left" -> EndpointState.REMOVED;
                default -> EndpointState.DRAINING; // leaving, or a word to come: nothing new is safe
            };
            if (text(host).isEmpty()) {
                throw new IllegalArgumentException("an entry of a list names no host");
            }
            return new EndpointDescriptor(
                    host,
                    (int) number(block, 0),
                    once(site, words),
                    state,
                    once(kind, words),
                    number(born, 0),
                    number(share, 1),
                    state == EndpointState.REMOVED && text(dial).isEmpty() ? 0 : PackedAddress.pack(text(dial)));
        }

        private static String text(String value) {
            return value == null ? "" : value;
        }

        private static String once(String value, Map<String, String> words) {
            String word = text(value);
            String known = words.get(word);
            if (known == null && words.size() < WORDS) {
                words.put(word, word);
            }
            return known == null ? word : known;
        }
    }
}
