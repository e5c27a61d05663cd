package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;
import quotagateway.node.NodeFixture;
import quotagateway.policy.api.EndpointDescriptor;

/** Endpoint lists in every form that discovery may send, cut anywhere, of any length. */
class EndpointListParserTest implements EndpointListHandler {
    private static final int MAX_ENTRIES = 5000;
    private final List<String> events = new ArrayList<>();
    private EndpointListParser parser = new EndpointListParser(this, MAX_ENTRIES);

    @Override
    public void onListStarted() {
        events.add("begins");
    }

    @Override
    public void onEndpoints(List<EndpointDescriptor> endpoints, boolean complete) {
        if (endpoints.size() > 5) {
            events.add((complete ? "whole " : "changes ") + endpoints.size());
            return;
        }
        StringBuilder text = new StringBuilder(complete ? "whole" : "changes");
        endpoints.forEach(s -> text.append(' ')
                .append(s.id())
                .append('=')
                .append(s.state())
                .append(s.cell())
                .append(s.zone())
                .append(s.kind())
                .append((long) s.startedAt())
                .append('/')
                .append(s.weight())
                .append('@')
                .append(s.address()));
        events.add(text.toString());
    }

    @Override
    public void onListEnded(double version, boolean complete, boolean removesUnnamed) {
        events.add("ends " + version + (complete ? " whole" : "") + (removesUnnamed ? " drops" : ""));
    }

    @Override
    public void onInvalidEntry(Exception cause) {
        events.add("spoilt");
    }

    @Override
    public void onTooManyEntries(int maxEntries) {
        events.add("longer than " + maxEntries);
    }

    private void read(String text, int piece) throws IOException {
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < all.length; i += piece) {
            parser.read(Unpooled.wrappedBuffer(all, i, Math.min(piece, all.length - i)));
        }
    }

    private static String host(int i) {
        return NodeFixture.entry("h" + i, "127.0.0.1:9", "active");
    }

    private static String hosts(int number) {
        return String.join(
                ",",
                IntStream.range(0, number)
                        .mapToObj(EndpointListParserTest::host)
                        .toList());
    }

    @Test
    void everyFormOfAListIsReadAlikeInPiecesOfAnySize() throws Exception {
        String entry = "{'zone':{'host':'x','a':[1,{'dial':[]}]},'host':'h0','dial':'1.2.3.4:5','site':'a',"
                + "'class':'m','block':3,'health':'%s','share':0.5,'born_ms':7,'host2':null}";
        long dial = 0x01020304_0005L;
        String up = " h0=UP3am7/0.5@" + dial;
        String text = ("\r\n {'hosts':[" + entry.formatted("active") + ",5,null,[[]],{'host':'h1'},"
                        + entry.formatted("left")
                        + "],\n  'more':{'hosts':[{}],'seq':9},'seq':42,'whole':true}{'seq':43,"
                        + "'hosts' : [ ] }\n\n{'seq':5}[{'hosts':[]}]\n{'hosts':{},'seq':6}"
                        + "{'whole':true,'hosts':[{'host':'h\u00e9','dial':'','health':'left'}]}\n")
                .replace('\'', '"');
        List<String> expected = List.of(
                "spoilt",
                "whole" + up + " h0=REMOVED3am7/0.5@" + dial,
                "ends 42.0 whole",
                "changes",
                "ends 43.0",
                "whole h\u00e9=REMOVED00/1.0@0",
                "ends NaN whole");
        for (int piece : new int[] {1, 2, 3, 7, 64, 10_000}) {
            events.clear();
            parser = new EndpointListParser(this, MAX_ENTRIES);
            read(text, piece);
            assertEquals(expected, events, "in pieces of " + piece);
            assertFalse(parser.isInsideList());
            assertEquals(6, parser.objectCount());
            assertEquals(3, parser.listCount());
        }
    }

    @Test
    void shortListIsHandedOverAsOneAndLongListInParts() throws Exception {
        read("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts(1000) + "]}", 8192);
        read("{\"hosts\":[" + hosts(2500) + "],\"whole\":true,\"seq\":2}", 8192);
        read("{\"hosts\":[" + hosts(1001) + "],\"whole\":false,\"seq\":3}", 8192);
        assertEquals(
                List.of(
                        "whole 1000",
                        "ends 1.0 whole",
                        "begins",
                        "changes 1000",
                        "changes 250",
                        "changes 250",
                        "changes 250",
                        "changes 250",
                        "changes 250",
                        "changes 250",
                        "ends 2.0 whole drops",
                        "begins",
                        "changes 1000",
                        "changes h1000=UP3am0/1.0@" + 0x7f000001_0009L,
                        "ends 3.0"),
                events);
    }

    @Test
    void listThatBreaksOffRemovesNothing() throws Exception {
        read("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts(2000) + ",{\"ho", 8192);
        assertTrue(parser.isInsideList());
        assertEquals(List.of("begins", "changes 1000", "changes 250", "changes 250", "changes 250"), events);
    }

    @Test
    void listBeyondTheBoundIsReportedAndRemovesNothing() throws Exception {
        read("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts(MAX_ENTRIES + 1500) + "]}", 8192);
        assertTrue(parser.hasTooManyEntries());
        assertEquals(
                List.of("longer than " + MAX_ENTRIES, "ends 1.0 whole"),
                events.stream()
                        .filter(t -> !t.startsWith("changes") && !t.equals("begins"))
                        .toList());
        assertEquals(
                MAX_ENTRIES,
                events.stream()
                        .filter(t -> t.startsWith("changes "))
                        .mapToInt(t -> Integer.parseInt(t.substring(8)))
                        .sum());
        read("{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts(6) + "]}", 8192);
        assertFalse(parser.hasTooManyEntries());
        parser = new EndpointListParser(this, 6); // a bound below the longest undivided list
        events.clear();
        read("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts(7) + "]}", 8192);
        assertEquals(List.of("longer than 6", "changes 6", "ends 1.0 whole"), events);
    }

    @Test
    void entryOfMegabytesIsRefusedAndManyEmptyLinesAreNot() throws Exception {
        String list = "{\"hosts\":[" + host(0) + ",{\"host\":\"";
        for (String rest : List.of(
                "x".repeat(1 << 20),
                "h\",\"a\":[" + "1,".repeat(1 << 19),
                "h\",\"" + "n".repeat(1 << 20),
                "h\"" + " ".repeat(1 << 20))) {
            parser = new EndpointListParser(this, MAX_ENTRIES);
            assertThrows(IOException.class, () -> read(list + rest, 8192));
        }
        parser = new EndpointListParser(this, MAX_ENTRIES);
        read("\n".repeat(1 << 18), 1);
        read("{\"hosts\":[" + hosts(6) + "]}", 8192);
        assertEquals("ends NaN", events.get(events.size() - 1));
        assertThrows(IOException.class, () -> read("{\"hosts\":" + "[".repeat(100), 8192), "nested too deep");
    }

    /**
     * The list may stand in front of all other members of the file or behind them; its text is never held as a whole.
     */
    @Test
    void savedListIsReadFromTheConfigurationFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        String known = "\"known\":{\"seq\":41,\"hosts\":[" + hosts(1200) + "],\"whole\":true}";
        String rest = """
            "listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n","limits":{"memory_mb":32},
             "peers":["a"],"settings":{"rank":0,"group_size":1,"known":{},"request_classes":
              [{"name":"r","effect":"read_like","aim":6,"hard_limit":2000}],"tariffs":[]}""";
        for (String text : List.of(known + "," + rest, rest + "," + known)) {
            events.clear();
            Files.writeString(file, "{" + text + "}");
            GatewayConfig config = GatewayConfig.fromEnvironment(Map.of("EDGE_CONFIG", file.toString()));
            assertEquals((32 << 20) / 800, config.maxEndpoints());
            config.cachedEndpoints().read(parser);
            assertEquals(List.of("begins", "changes 1000", "changes 200", "ends 41.0 whole drops"), events);
        }
        for (String none : List.of("", ",\"known\":null")) {
            Files.writeString(file, "{" + rest + none + "}");
            assertEquals(
                    null,
                    GatewayConfig.fromEnvironment(Map.of("EDGE_CONFIG", file.toString()))
                            .cachedEndpoints());
        }
        Json settings = Json.without("known", file).get("settings");
        assertEquals(Map.of(), settings.get("known").members());
    }
}
